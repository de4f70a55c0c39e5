#pragma once

#include "admin/backend.h"
#include "call/routing_view.h"
#include "control/control.h"
#include "edge/call_path.h"
#include "membership/upstream_run.h"
#include "store/store_client.h"
#include "wire/link_pool.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

/// One running node: the control state behind a lock, and the parts that touch the outside.
namespace cyclamenhatch::node {

using write_callback = std::function<void(store::write_reply)>;

/// The key-value service as the node uses it, whichever client reaches it.
struct store_access {
    std::function<void(const store::kv_request&)> execute;
    std::function<void()> stop;
    std::function<store::store_counters()> counts;
};

/// Lock order: control_lock, then samples_lock or view_lock; none of them is held while a part of
/// the outside (links, store, callers, operators) is called. Members without a lock are set before
/// the threads start and do not change.
struct node_runtime {
    /// With a dialect the configuration is read as the operators write it in that dialect.
    explicit node_runtime(const msg::settings_msg& from,
                          const std::optional<feed::dialect>& words = std::nullopt);

    msg::settings_msg settings;

    std::mutex control_lock;
    control::state control;
    /// Operators that wait for a write, by operation id.
    std::multimap<operation_id, write_callback> waiting_writes;
    /// The run of the upstream beside this node that was heard last.
    membership::upstream_run upstream_run;
    /// The upstream as it announced itself, while this node is not yet able to serve the calls that
    /// it makes in turn.
    std::optional<msg::upstream_record_msg> held_upstream;
    /// What the published view was built from.
    std::uint64_t view_generation = 0;
    snapshot_ptr view_config;
    bool view_is_ready = false;

    std::mutex samples_lock;
    std::vector<call::call_sample> samples;

    mutable std::mutex view_lock;
    call::routing_view_ptr view;
    /// The view as of a node that is not ready, for the time between a pause and the next tick.
    call::routing_view_ptr stale_view;
    instant last_tick;
    /// How late the last tick of a node on one loop came.
    std::atomic<std::int64_t> loop_lag_ms{0};

    std::shared_ptr<wire::link_pool> links;
    store_access store;
    std::shared_ptr<edge::call_path> calls;
};

/// One step of the control state: runs it under the lock, then carries out what it wants.
void step(node_runtime& node, const std::function<void(instant, control::actions&)>& event);

/// The control tick, to be called about every 100 ms.
void tick(node_runtime& node);

/// Gives a message from another node to the part that handles it. Thread safe.
void dispatch(node_runtime& node, incoming message);

/// Queues a write and calls back once with its outcome. Thread safe.
void write(node_runtime& node, store::write_request request, write_callback reply);

/// Takes an announcement of the upstream beside this node; one that comes late changes nothing.
/// Thread safe.
[[nodiscard]] findings announce(node_runtime& node, const admin::announcement& announced);

/// The run of the upstream with this instance id leaves: it gets no new calls. Thread safe.
void announce_leave(node_runtime& node, const std::string& instance);

/// The present view for the call path; not ready when no tick has passed for the pause setting, as
/// right after the process stood still. Thread safe; never null.
[[nodiscard]] call::routing_view_ptr current_view(const node_runtime& node);

/// Adds ends of calls as evidence for moves. Thread safe.
void record_samples(node_runtime& node, std::vector<call::call_sample> samples);

} // namespace cyclamenhatch::node
