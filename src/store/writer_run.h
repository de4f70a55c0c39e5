#pragma once

#include "store/config_writer.h"
#include "store/write_batch.h"

#include <algorithm>
#include <vector>

/// Answers to queued changes, within one step of the writer. Internal to the writer.
namespace cyclamenhatch::store {

/// One step of the writer with all that it needs.
struct writer_run {
    config_writer& writer;
    instant now;
    random_source& random;
    writer_actions& actions;
};

using write_outcome = decltype(write_reply::outcome);

/// Whether the service has failed so often and so long that changes are given back without an
/// attempt.
[[nodiscard]] bool is_store_away(const config_writer& writer, instant now);

/// Whether the swap under way carries this operation.
[[nodiscard]] bool is_in_swap(const config_writer& writer, const operation_id& operation);

/// The head that an operation was sent on when it was answered with unknown.
[[nodiscard]] std::optional<unresolved_swap> find_unknown(const config_writer& writer,
                                                          const operation_id& operation);

/// Answers one submission that is not queued.
void give_back(writer_run& run, const operation_id& operation, const std::string& reason);

/// Gives back the changes that no transaction has carried.
void give_back_unsent(writer_run& run);

/// Answers what the base tells about the queued changes.
void resolve_queue(writer_run& run);

void answer_refused(writer_run& run, std::vector<batch_refusal> refused);

/// Answers the changes that the successful swap carried.
void answer_accepted(writer_run& run);

/// Answers submissions whose deadline has passed.
void expire(writer_run& run);

} // namespace cyclamenhatch::store
