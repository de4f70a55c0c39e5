#pragma once

#include "admin/backend.h"
#include "call/routing_view.h"
#include "control/control.h"
#include "edge/call_path.h"
#include "membership/upstream_run.h"
#include "store/store_client.h"
#include "wire/link_pool.h"
#include "wire/traffic_rate.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

/// One running node: the control state with its lock, and the components that do I/O.
namespace cyclamenhatch::node {

using write_callback = std::function<void(store::write_reply)>;

/// The client of the key-value service, independent of its implementation.
struct store_access {
    std::function<void(const store::kv_request&)> execute;
    std::function<void()> stop;
    std::function<store::store_counters()> counts;
};

/// An announcement of the upstream that waits until its leave is stored.
struct waiting_confirmation {
    instant announced_at;
    std::function<void(bool is_confirmed)> done;
};

/// Lock order: control_lock, then samples_lock or view_lock. No lock is held while links, the
/// store, callers or operators are called. Members without a lock are set before the threads start
/// and do not change.
struct node_runtime {
    /// With a format the configuration is read from the operators' documents in that format.
    explicit node_runtime(const msg::settings_msg& initial_settings,
                          const std::optional<feed::config_format>& format = std::nullopt);

    msg::settings_msg settings;

    std::mutex control_lock;
    /// Its own node id does not change and needs no lock.
    control::state control;
    /// Callbacks of the writes in progress, by operation id.
    std::multimap<operation_id, write_callback> waiting_writes;
    std::vector<waiting_confirmation> waiting_confirmations;
    /// Announcements that were not confirmed, since the leave was not stored in time.
    std::uint64_t unconfirmed_leaves = 0;
    /// The run of the upstream beside this node that announced itself last.
    membership::upstream_run upstream_run;
    /// Until when the upstream is cold, by its last announcement.
    instant cold_until{};
    /// The announced upstream, held back until this node can serve the calls that the upstream
    /// makes itself.
    std::optional<msg::upstream_record_msg> pending_upstream;
    /// What the published view was built from.
    std::uint64_t view_generation = 0;
    std::uint64_t view_quarantine = 0;
    snapshot_ptr view_config;
    bool view_is_ready = false;

    std::mutex samples_lock;
    std::vector<call::call_sample> samples;

    mutable std::mutex view_lock;
    call::routing_view_ptr view;
    /// The same view marked as not ready; used between a pause of the process and the next tick.
    call::routing_view_ptr stale_view;
    instant last_tick;
    /// Delay of the last tick, in milliseconds; measured only by a node that runs on one loop.
    std::atomic<std::int64_t> loop_lag_ms{0};

    /// Used by the tick only.
    wire::traffic_watch traffic;

    std::shared_ptr<wire::link_pool> links;
    store_access store;
    std::shared_ptr<edge::call_path> calls;
};

/// Runs an event on the control state under its lock, then carries out the resulting actions.
void step(node_runtime& node, const std::function<void(instant, control::actions&)>& event);

/// The control tick, to be called about every 100 ms.
void tick(node_runtime& node);

/// Passes a message from another node to the component that handles it. Thread safe.
void dispatch(node_runtime& node, incoming message);

/// Submits a write and calls `callback` once with its outcome. Thread safe.
void write(node_runtime& node, store::write_request request, write_callback callback);

/// Handles an announcement of the upstream beside this node; an outdated one changes nothing, nor
/// does one of a service that is not configured while an upstream of another one is known, which
/// returns a finding. Thread safe.
[[nodiscard]] findings announce(node_runtime& node, const admin::announcement& announcement);

/// Handles an upstream run with this instance id that says in an answer that it leaves: it gets no
/// new calls, even if it still announces that it is ready. Thread safe.
void announce_draining(node_runtime& node, const std::string& instance);

/// Handles the leaving of the upstream run with this instance id: it gets no new calls. Thread
/// safe.
void announce_leave(node_runtime& node, const std::string& instance);

/// Calls `done` with true once what the upstream has announced so far may be confirmed to it: a
/// leave is stored first. Calls it with false when the leave is not stored within 0.7 s; it then
/// takes effect, but may be forgotten when all processes end, so the upstream must announce it
/// again. `done` is called exactly once unless the node stops before, by this call or by a later
/// step of the node, on the thread of that step. Thread safe.
void when_confirmable(node_runtime& node, std::function<void(bool is_confirmed)> done);

/// Handles a crash of the upstream beside this node. Thread safe.
void record_crash(node_runtime& node, const call::upstream_crash& crash);

/// Handles a suspected request that has run well here. Thread safe.
void record_good_run(node_runtime& node, const request_digest& digest);

/// Clears the crashes of a request by an operator's order; returns whether any counted. Thread
/// safe.
bool lift_hold(node_runtime& node, const request_digest& digest);

/// Returns the current view for the call path; never null. The view is not ready when the last tick
/// is older than membership.pause_ms, as right after a pause of the process. Thread safe.
[[nodiscard]] call::routing_view_ptr current_view(const node_runtime& node);

/// Adds samples of finished calls as evidence for moves. Thread safe.
void record_samples(node_runtime& node, std::vector<call::call_sample> samples);

} // namespace cyclamenhatch::node
