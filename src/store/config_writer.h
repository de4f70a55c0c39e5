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
/// concurrent changes into one swap, and finds out what became of a write whose answer was lost.
namespace cyclamenhatch::store {

struct write_request {
    operation_id operation;
    change wanted;
    /// After this the outcome is reported as unknown unless it is known.
    instant deadline;
};

struct write_accepted {
    config_version version;
};

/// Proven: the change was not made and will not be.
struct write_not_run {
    std::string reason;
    milliseconds retry_after{0};
};

/// The change may or may not have been made; ask again with the operation id.
struct write_unknown {};

struct write_reply {
    operation_id operation;
    std::variant<write_accepted, change_refused, write_not_run, write_unknown> outcome;
};

/// What a step wants done.
struct writer_actions {
    std::vector<kv_request> requests;
    std::vector<write_reply> replies;
    /// Set when a swap of ours is known to have succeeded, or a newer head was read.
    snapshot_ptr newer;
};

struct writer_config {
    std::string prefix = "/cyclamenhatch/";
    std::uint32_t reads_per_s = 5;
    std::uint32_t writes_per_s = 5;
    std::size_t max_queue = 1024;
};

/// A transaction whose effect is not known: the head that it compares with.
struct unresolved_swap {
    std::int64_t mod_revision = 0;
    config_version version;
};

/// An operation that was answered with unknown, so that a later answer about it stays true.
struct unknown_operation {
    operation_id operation;
    unresolved_swap sent_on;
};

/// A change that waits for its outcome.
struct queued_write {
    operation_id operation;
    change wanted;
    instant submitted;
    /// One deadline for each submission of this operation.
    std::vector<instant> deadlines;
    /// Set while a transaction that carried the change may have taken effect or still may.
    std::optional<unresolved_swap> unresolved;
};

/// The configuration that the next swap starts from.
struct writer_base {
    /// Last revision of the stored head; 0 when there is none.
    std::int64_t mod_revision = 0;
    /// As stored.
    stored_head head;
    /// What to build on: the stored sections, or what this node holds when the store fell behind.
    config_version version;
    section_map sections;
    /// When the request that established this was sent.
    instant established;
    /// Set when the stored head is known or suspected to have moved.
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

/// The writer's state. Plain data; one per node; the caller serialises access.
struct config_writer {
    writer_config config;
    token_bucket reads;
    token_bucket writes;
    std::vector<queued_write> queue;
    /// Bounded; oldest first.
    std::deque<unknown_operation> unknowns;
    std::optional<writer_base> base;
    /// The newest configuration known on this node.
    snapshot_ptr held;
    writer_step step = writer_step::idle;
    /// The request that the step waits for.
    std::uint64_t request = 0;
    instant request_sent;
    std::uint64_t next_request = writer_request_base;
    section_fetch fetch;
    pending_swap swap;
    /// Failures of the service in a row, and lost races in a row.
    std::uint32_t failures = 0;
    std::uint32_t lost_races = 0;
    instant failing_since;
    std::string last_failure;
    /// No request is sent before.
    instant not_before;
};

[[nodiscard]] config_writer make_config_writer(writer_config config, instant now);

/// Queues a change. A full queue, or a service known to be away, is answered at once with
/// write_not_run. An operation that was accepted before is answered with its version; one that is
/// queued already gets one reply for each submission. One that this writer answered with unknown is
/// not reported as not run before that is proven; other nodes do not know of it.
void submit(config_writer& writer, write_request request, instant now, random_source& random,
            writer_actions& actions);

/// Call about every 100 ms: deadlines, retries with jittered backoff, the rate budget.
void on_tick(config_writer& writer, instant now, random_source& random, writer_actions& actions);

/// Hands a response to the writer. Returns false when the id is none of its own.
[[nodiscard]] bool on_response(config_writer& writer, const kv_response& response, instant now,
                               random_source& random, writer_actions& actions);

/// Tells the writer of a newer configuration that came from elsewhere, to save it a read.
void on_newer(config_writer& writer, const snapshot_ptr& held);

} // namespace cyclamenhatch::store
