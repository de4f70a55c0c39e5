#pragma once

#include "call/concurrency_limit.h"
#include "call/entry_call.h"
#include "call/gate_queue.h"
#include "call/load_table.h"
#include "call/outcome_memory.h"
#include "call/owner_shares.h"
#include "call/rate_limit.h"
#include "call/route_use.h"
#include "call/upstream_pace.h"
#include "call/warm_up.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

/// The gate beside an upstream: decides which calls run, wait or are refused, and remembers how
/// each ended.
namespace cyclamenhatch::call {

struct gate_settings {
    std::uint32_t queue_limit = 64;
    memory_bounds memory;
    /// False switches off the adaptive limit, the queue's bound and refusals for lack of time: the
    /// baseline of measurements.
    bool has_limits = true;
    /// Whether the limit on running calls follows the upstream's latency below its slots.
    bool has_adaptive_limit = true;
};

/// The parts of a call_open by which the gate decides.
struct gate_request {
    call_id call;
    node_id entry_node;
    bool is_reattach = false;
    service_id service;
    version_id version;
    owner_id owner;
    /// By the gate's clock: receipt plus the time left that the entry stated, less link_delay.
    instant deadline{};
    /// How long the message that opens the call waited on its link.
    microseconds link_delay{0};
    /// Run of the gate's process as known to the entry; 0 for unknown.
    std::uint64_t gate_instance = 0;
    /// When the answer loses most of its worth to the caller; the deadline when there is no
    /// objective.
    std::optional<instant> objective;
    /// Priority among the calls that wait here; 0 is the highest.
    std::uint32_t priority = 0;
    /// Refuse at once when no slot is free.
    bool no_wait = false;
    /// Run times are measured per route.
    route_id route;
    /// Rate that the upstream stated as known to the entry, in calls a second; nothing for unknown
    /// or none.
    std::optional<double> known_calls_per_s;
    /// How long the request is still held because upstreams crashed under it; nothing if it is not.
    std::optional<milliseconds> held_for;
};

struct running_call {
    owner_id owner;
    route_id route;
    instant started_at{};
    instant deadline{};
    /// The upstream's pace when the call started.
    std::uint32_t pace_percent = usual_pace_percent;
};

struct gate_counters {
    std::uint64_t opened = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t reattached = 0;
    std::uint64_t tombstones = 0;
    std::uint64_t cancelled = 0;
    /// Cancels of unknown calls for which there was no room to remember them.
    std::uint64_t ignored_cancels = 0;
    /// By refusal_reason.
    std::array<std::uint64_t, static_cast<std::size_t>(msg::refusal_reason::MAX) + 1> refused{};
};

/// Not thread safe; the caller serialises access.
struct gate_state {
    gate_settings settings;
    /// Names this run of the process; never 0.
    std::uint64_t instance = 1;
    service_id service;
    version_id version;
    msg::upstream_state upstream = msg::upstream_state::none;
    bool is_draining = false;
    /// Operators have evacuated the data centre.
    bool is_evacuated = false;
    /// This run of the upstream has said in an answer that it leaves; final.
    bool is_upstream_leaving = false;
    route_uses routes;
    /// Starts since the last turn of an overdue call.
    std::uint32_t starts_in_order = 0;
    concurrency_limit limit;
    rate_limit rate;
    warm_up warm;
    upstream_pace pace;
    owner_shares shares;
    gate_queue queue;
    std::unordered_map<call_id, running_call> running;
    outcome_memory memory;
    gate_counters counters;
};

/// Dispatch the call to the upstream now.
struct run_action {
    call_id call;
};
/// Break off the call at the upstream.
struct abort_action {
    call_id call;
};
/// Release what is held for a call that has ended or will not run.
struct release_action {
    call_id call;
};
/// Send the answer to the node that waits.
struct send_answer_action {
    node_id waiter;
    stored_answer answer;
};
/// Send the refusal to the node that waits.
struct send_refusal_action {
    node_id waiter;
    msg::call_refused_msg refused;
};

using gate_action =
    std::variant<run_action, abort_action, release_action, send_answer_action, send_refusal_action>;
using gate_actions = std::vector<gate_action>;

/// How a dispatched call ended at the upstream.
struct upstream_end {
    /// Null when there is no answer, or when it was streamed to the waiter as it came.
    stored_answer answer;
    /// Proven: no byte of the request reached the upstream, or it said that it did not run the
    /// call.
    bool is_not_run = false;
    /// The reason when `is_not_run` is set.
    msg::refusal_reason not_run_reason = msg::refusal_reason::upstream_unreachable;
    /// Set with `is_not_run` when upstreams crashed under the request while the call waited here.
    std::optional<milliseconds> held_for;
    /// An answer came, whether kept or streamed.
    bool is_answered = false;
    /// The answer shows that the upstream has run the request to its end.
    bool has_run_well = false;
    /// The upstream shed load or ran out of time.
    bool is_overload = false;
    /// Time from dispatch to the answer's head.
    microseconds latency{0};
};

/// Handles a call_open. At most one run_action is ever returned for one call id.
[[nodiscard]] gate_actions on_open(gate_state& gate, const gate_request& request, instant now);

/// Handles the cancellation of a call by its entry.
[[nodiscard]] gate_actions on_cancel(gate_state& gate, const call_id& call, instant now);

/// Handles the end of a dispatched call; ends of unknown calls are dropped.
[[nodiscard]] gate_actions on_upstream_end(gate_state& gate, const call_id& call,
                                           const upstream_end& end, instant now);

/// Refuses queued calls whose deadline can no longer be met. Call it every few milliseconds while
/// calls are queued.
[[nodiscard]] gate_actions on_gate_timer(gate_state& gate, instant now);

/// Applies the upstream's announcement. Queued calls are refused when it may no longer take them.
[[nodiscard]] gate_actions
on_upstream_change(gate_state& gate, const msg::upstream_record_msg& upstream, instant now);

/// Applies what an answer to a running call says about the rate that the upstream takes: its limit
/// in calls a second, or nothing for none. An answer without a limit is ignored when its call
/// started before the limit was stated.
[[nodiscard]] gate_actions on_stated_rate(gate_state& gate, const call_id& call,
                                          std::optional<double> calls_per_s, instant now);

/// Applies what the service states about cold upstreams; nothing while its configuration is
/// unknown. Queued calls that may start are started.
[[nodiscard]] gate_actions on_warm_up_terms(gate_state& gate,
                                            const std::optional<warm_up_terms>& terms, instant now);

/// Applies the pace that an answer to a running call states. Answers that state none change
/// nothing.
void on_stated_pace(gate_state& gate, const call_id& call, std::uint64_t percent, instant now);

/// Forgets what the upstream has said about itself in its answers: another run of it has begun.
void begin_upstream_run(gate_state& gate);

/// Stops taking new calls for an upstream that leaves, and refuses queued ones.
[[nodiscard]] gate_actions on_upstream_leaving(gate_state& gate, instant now);

/// Stops taking new calls and refuses queued ones; running calls continue.
[[nodiscard]] gate_actions on_drain(gate_state& gate, instant now);

/// Stops taking new calls while the data centre is evacuated and refuses queued ones; running calls
/// continue.
[[nodiscard]] gate_actions on_evacuation(gate_state& gate, bool is_evacuated, instant now);

/// Applies the owners' reservations.
void on_reservations(gate_state& gate, const std::map<owner_id, std::uint32_t>& reserved,
                     instant now);

/// Whether the call waits or runs here.
[[nodiscard]] bool is_under_way(const gate_state& gate, const call_id& call);

/// The node that waits for the call's end; empty when the call is not known.
[[nodiscard]] node_id waiter_of(const gate_state& gate, const call_id& call);

/// Calls a second that the upstream takes now: the lower one of the rate that it states and, while
/// it is cold, that of its service. Nothing for no limit.
[[nodiscard]] std::optional<double> rate_in_force(const gate_state& gate, instant now);

/// The load to report with the answer or the refusal of a call; the wait is that of its route.
[[nodiscard]] load_report current_load(const gate_state& gate, const call_id& call, instant now);

} // namespace cyclamenhatch::call
