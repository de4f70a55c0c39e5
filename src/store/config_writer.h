#pragma once

#include "model/random.h"
#include "model/time.h"
#include "store/change.h"
#include "store/kv.h"

#include <cstdint>
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

/// The writer's state. Plain data; one per node; the caller serialises access.
struct config_writer {
    writer_config config;
};

[[nodiscard]] config_writer make_config_writer(writer_config config, instant now);

/// Queues a change. A full queue is answered at once with write_not_run.
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
