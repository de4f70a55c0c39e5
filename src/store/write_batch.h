#pragma once

#include "store/change.h"
#include "store/config_writer.h"
#include "store/head_codec.h"
#include "store/kv.h"
#include "store/section_fetch.h"

#include <optional>
#include <vector>

/// Forms one swap from the queued changes, and determines from a head the outcome of earlier ones.
namespace cyclamenhatch::store {

/// A change that was refused for good; it is not tried again.
struct batch_refusal {
    /// Index in the queue.
    std::size_t index = 0;
    change_refused refusal;
};

/// Result of applying the queued changes to one base.
struct write_batch {
    config_version version;
    section_map sections;
    /// Queue indexes of the changes that the swap carries.
    std::vector<std::size_t> included;
    std::vector<batch_refusal> refused;
    /// A change was refused on a base that was read before it was submitted.
    bool needs_fresh_base = false;
    /// A change was refused, but an unresolved transaction may still carry it out.
    bool needs_fence = false;
};

/// Applies the queued changes in order. A change that conflicts only with earlier changes of the
/// batch waits for the next one.
[[nodiscard]] write_batch form_batch(const writer_base& base,
                                     const std::vector<queued_write>& queue);

/// The head that follows `base` with this batch.
[[nodiscard]] stored_head make_next_head(const writer_base& base, const write_batch& batch,
                                         const std::vector<queued_write>& queue);

/// One transaction on the condition that the stored head is unchanged. It puts the changed sections
/// and the head, and deletes the sections that the new head does not name.
[[nodiscard]] kv_transaction make_swap(const std::string& prefix, const writer_base& base,
                                       const section_map& sections, const stored_head& next);

/// The version that carried an operation, if the base still records it.
[[nodiscard]] std::optional<config_version> find_accepted(const writer_base& base,
                                                          const operation_id& operation);

/// Whether the base proves that an operation it does not record was not carried out by `swap`.
[[nodiscard]] bool is_absence_proven(const writer_base& base, const unresolved_swap& swap);

} // namespace cyclamenhatch::store
