#pragma once

#include "store/config_writer.h"
#include "store/write_batch.h"

#include <algorithm>
#include <vector>

/// Replies to queued changes. Internal to the writer.
namespace cyclamenhatch::store {

/// The arguments of one call of the writer, passed to its internal functions.
struct writer_context {
    config_writer& writer;
    instant now;
    random_source& random;
    writer_actions& actions;
};

using write_outcome = decltype(write_reply::outcome);

/// Whether the service has failed so often and for so long that changes are answered with not run
/// without an attempt.
[[nodiscard]] bool is_store_unavailable(const config_writer& writer, instant now);

/// Whether the swap under way carries this operation.
[[nodiscard]] bool is_in_swap(const config_writer& writer, const operation_id& operation);

/// The transaction that may have carried an operation that was answered with unknown.
[[nodiscard]] std::optional<unresolved_swap> find_unknown_swap(const config_writer& writer,
                                                               const operation_id& operation);

/// Replies with not run, or with unknown when the operation was answered so before. For a
/// submission that is not queued.
void reply_not_run(writer_context& context, const operation_id& operation,
                   const std::string& reason);

/// Answers the queued changes that no transaction has carried with not run.
void drop_unsent_writes(writer_context& context);

/// Answers the queued changes whose outcome the base shows.
void resolve_queue(writer_context& context);

void answer_refused(writer_context& context, std::vector<batch_refusal> refused);

/// Answers the changes that the successful swap carried.
void answer_accepted(writer_context& context);

/// Answers submissions whose deadline has passed.
void expire(writer_context& context);

} // namespace cyclamenhatch::store
