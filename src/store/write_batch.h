#pragma once

#include "store/change.h"
#include "store/config_writer.h"
#include "store/head_codec.h"
#include "store/kv.h"
#include "store/section_fetch.h"

#include <optional>
#include <vector>

/// Forms one swap out of queued changes, and reads off a head what became of earlier ones.
namespace cyclamenhatch::store {

/// A change that was refused for good, by its place in the queue.
struct batch_refusal {
    std::size_t index = 0;
    change_refused refused;
};

/// What the queued changes lead to on one base.
struct write_batch {
    config_version version;
    section_map sections;
    /// Places in the queue of the changes that the swap carries.
    std::vector<std::size_t> included;
    std::vector<batch_refusal> refused;
    /// A change was refused on a base that was read before it was submitted.
    bool needs_fresh_base = false;
    /// A change was refused, but an unresolved transaction may still carry it out.
    bool needs_fence = false;
};

/// Applies the queued changes in turn. A change that only the changes before it forbid waits for
/// the next batch.
[[nodiscard]] write_batch form_batch(const writer_base& base,
                                     const std::vector<queued_write>& queue);

/// The head that follows `base` with this batch.
[[nodiscard]] stored_head make_next_head(const writer_base& base, const write_batch& batch,
                                         const std::vector<queued_write>& queue);

/// One transaction: the head must not have moved; changed sections and the head are put, and
/// sections that the new head does not name are deleted.
[[nodiscard]] kv_transaction make_swap(const std::string& prefix, const writer_base& base,
                                       const section_map& sections, const stored_head& next);

/// The version that carried an operation, as far as the base tells.
[[nodiscard]] std::optional<config_version> find_accepted(const writer_base& base,
                                                          const operation_id& operation);

/// Whether an operation that would have followed `sent_on` and is not found in the base is proven
/// not to have been carried out.
[[nodiscard]] bool is_absence_proven(const writer_base& base, const unresolved_swap& sent_on);

} // namespace cyclamenhatch::store
