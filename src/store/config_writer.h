#pragma once

#include "model/random.h"
#include "model/time.h"
#include "store/change.h"
#include "store/head_codec.h"
#include "store/kv.h"
#include "store/request_budget.h"
#include "store/section_fetch.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Writes configuration changes to the key-value service by compare-and-swap on the head, batching
/// concurrent changes into one swap, and determines the outcome of writes whose answer was lost.
namespace cyclamenhatch::store {

struct write_request {
    operation_id operation;
    change requested_change;
    /// When it passes, an outcome that is not known yet is reported as unknown or not run.
    instant deadline;
};

struct write_accepted {
    config_version version;
};

/// The change was not made and will not be made.
struct write_not_run {
    std::string reason;
    milliseconds retry_after{0};
};

/// The change may or may not have been made. Submitting it again with the same operation id tells.
struct write_unknown {};

struct write_reply {
    operation_id operation;
    std::variant<write_accepted, change_refused, write_not_run, write_unknown> outcome;
};

/// Effects that the caller carries out after a call.
struct writer_actions {
    std::vector<kv_request> requests;
    std::vector<write_reply> replies;
    /// Set when a swap of this node is known to have succeeded, or a newer head was read.
    snapshot_ptr newer_snapshot;
};

struct writer_config {
    std::string prefix = "/cyclamenhatch/";
    std::uint32_t reads_per_s = 5;
    std::uint32_t writes_per_s = 5;
    std::size_t max_queue = 1024;
};

/// A transaction whose effect is not known, identified by the head that it compares with.
struct unresolved_swap {
    std::int64_t mod_revision = 0;
    config_version version;
};

/// An operation that was answered with unknown. Kept so that a later answer does not contradict it.
struct unknown_operation {
    operation_id operation;
    unresolved_swap swap;
};

/// A change whose outcome is pending.
struct queued_write {
    operation_id operation;
    change requested_change;
    instant submitted_at;
    /// One deadline for each submission of this operation.
    std::vector<instant> deadlines;
    /// Set while a transaction that carried the change may have taken effect or still may.
    std::optional<unresolved_swap> unresolved;
};

/// The configuration that the next swap starts from.
struct writer_base {
    /// Revision that last wrote the stored head; 0 when there is none.
    std::int64_t mod_revision = 0;
    /// The head as it is stored.
    stored_head head;
    /// The configuration to build on: the stored one, or that of this node when it is newer.
    config_version version;
    section_map sections;
    /// When the request that produced this base was sent.
    instant requested_at;
    /// Set when the stored head has been replaced, or may have been.
    bool is_stale = false;
};

enum class writer_step { idle, reading_head, reading_sections, swapping };

/// The swap under way.
struct pending_swap {
    stored_head head;
    config_version version;
    section_map sections;
    std::vector<operation_id> operations;
};

/// State of the writer. Plain data, one per node. Not thread safe: the caller serialises access.
struct config_writer {
    writer_config config;
    token_bucket reads;
    token_bucket writes;
    std::vector<queued_write> queue;
    /// Bounded; oldest first.
    std::deque<unknown_operation> unknown_operations;
    std::optional<writer_base> base;
    /// The newest configuration known on this node.
    snapshot_ptr local_snapshot;
    writer_step step = writer_step::idle;
    /// The request that the step waits for.
    std::uint64_t request = 0;
    instant request_sent;
    std::uint64_t next_request = writer_request_base;
    section_fetch fetch;
    pending_swap swap;
    /// Consecutive failed requests, and consecutive swaps that failed because the head had changed.
    std::uint32_t failures = 0;
    std::uint32_t lost_races = 0;
    instant failing_since;
    std::string last_failure;
    /// No request is sent before this time.
    instant not_before;
};

[[nodiscard]] config_writer make_config_writer(writer_config config, instant now);

/// Queues a change. When the queue is full or the service is unavailable, the reply is
/// write_not_run at once. An operation that was accepted before is answered with its version; one
/// that is queued already gets one reply for each submission. An operation that this writer
/// answered with unknown is not reported as not run before that is proven; other nodes do not share
/// this record.
void submit(config_writer& writer, write_request request, instant now, random_source& random,
            writer_actions& actions);

/// Handles deadlines, retries with jittered backoff and the rate limits. Call about every 100 ms.
void on_tick(config_writer& writer, instant now, random_source& random, writer_actions& actions);

/// Processes a response. Returns false when the id was not issued by the writer.
[[nodiscard]] bool on_response(config_writer& writer, const kv_response& response, instant now,
                               random_source& random, writer_actions& actions);

/// Informs the writer of a newer configuration from another source, whose sections it then need not
/// read.
void update_local_snapshot(config_writer& writer, const snapshot_ptr& snapshot);

} // namespace cyclamenhatch::store
