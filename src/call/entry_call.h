#pragma once

#include "call/call_sample.h"
#include "call/load_table.h"
#include "call/retry_budget.h"
#include "messages/peer_message.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// State machine of one call at its entry node, from the caller's request to its only answer.
namespace cyclamenhatch::call {

/// Target of an attempt. The id names the attempt at its gate and is never reused.
struct attempt_target {
    call_id call;
    node_id node;
    peer_address address;
    data_centre_id data_centre;
    /// Version of the endpoint, for the evidence of moves.
    version_id version;
    /// The endpoint is expected to have a free slot, so the gate need not queue the call.
    bool has_room = false;
    /// Last reported run of the gate's process; 0 when unknown.
    std::uint64_t gate_instance = 0;
    /// The run of the upstream that the attempt is meant for.
    std::string instance;
    std::uint64_t started_ms = 0;
    /// Calls a second that the upstream takes, as last reported; 0 if unknown or not limited.
    double calls_per_s = 0;
};

/// Refusal of a call by a gate or by this entry.
struct refusal {
    msg::call_outcome outcome = msg::call_outcome::not_run;
    msg::refusal_reason reason = msg::refusal_reason::none;
    bool retry_helps = false;
    milliseconds retry_after{0};
};

/// One dispatch to a gate.
struct attempt {
    attempt_target target;
    instant opened_at{};
    /// When to send the next reattach: set after the link or a piece was lost, and while an answer
    /// arrives in case it stops.
    std::optional<instant> reattach_at;
    std::uint32_t reattaches = 0;
    /// A reattach was sent and the gate has not answered it.
    bool is_asking = false;
};

/// The state of one call. Not thread safe; the caller serialises access.
struct entry_call {
    instant deadline{};
    bool is_idempotent = false;
    /// Limit on `arrivals`; gates that refuse do not count.
    std::uint32_t max_attempts = 1;
    /// Number of attempts that reached, or may have reached, an upstream.
    std::uint32_t arrivals = 0;
    /// Upstreams that broke off under the call.
    std::uint32_t broken_off = 0;
    /// Gates that had no free slot or got the call late. Once no other is left they are tried
    /// again, and may then queue the call.
    std::vector<node_id> busy;
    /// The next gate may queue the call.
    bool may_wait = false;
    std::uint32_t refusals = 0;
    /// A server error is kept, to be passed on when no other endpoint gives a better answer.
    bool has_kept_answer = false;
    /// Why no endpoint was chosen, when the choice says more than that none is left.
    std::optional<refusal> no_endpoint_reason;
    /// The attempt in flight.
    std::optional<attempt> current;
    std::vector<node_id> tried;
    /// An attempt that was given up may have run.
    bool may_have_run = false;
    bool is_over = false;
    /// The head of an answer was passed on: no other endpoint can be tried, and a reattach asks for
    /// the rest when the link is lost.
    bool is_answering = false;
};

/// Whether the upstream itself received the call, so that another attempt adds upstream load.
[[nodiscard]] bool has_arrived(const refusal& details);

struct request_event {};
/// The head of an answer arrived; `is_whole` when the whole body came with it.
struct answer_event {
    call_id call;
    bool is_whole = true;
    /// The upstream reported a server error.
    bool is_error = false;
};
/// The rest of an answer that had begun has arrived.
struct answer_end_event {
    call_id call;
};
/// The answer of this attempt has another length than its head states.
struct broken_answer_event {
    call_id call;
};
struct refused_event {
    call_id call;
    refusal details;
    /// Crashes that this node knows of the same request now.
    std::uint32_t suspect_crashes = 0;
};
struct link_lost_event {
    node_id node;
};
/// A piece of the answer arrived while an earlier one is missing.
struct piece_missing_event {
    call_id call;
};
/// The next piece of the answer arrived.
struct piece_event {
    call_id call;
};
/// The gate answered a reattach: the call waits or runs there.
struct under_way_event {
    call_id call;
};
/// The endpoint's process has ended: its member is dead or has another incarnation. Does not end an
/// answer that has begun: a node that leaves the fleet completes its answers first.
struct endpoint_gone_event {
    node_id node;
};
struct timer_event {};
struct caller_gone_event {};
/// This node is stopping now.
struct node_stops_event {};

using entry_event =
    std::variant<request_event, answer_event, answer_end_event, broken_answer_event, refused_event,
                 link_lost_event, piece_missing_event, piece_event, under_way_event,
                 endpoint_gone_event, timer_event, caller_gone_event, node_stops_event>;

/// Send the request to the gate under a new id.
struct open_action {
    attempt_target target;
    std::uint32_t attempt_number = 1;
    /// The gate must refuse at once when no slot is free.
    bool no_wait = false;
};
/// Ask the gate for the state of the call, or the rest of its answer; never starts a run.
struct reattach_action {
    attempt_target target;
};
struct cancel_action {
    attempt_target target;
};
/// Pass the answer of this event on to the caller.
struct pass_answer_action {};
/// Keep the answer of this event in case no better one comes.
struct keep_answer_action {};
/// Pass the kept answer on to the caller.
struct pass_kept_answer_action {};
/// Answer the caller with a refusal instead of an upstream's answer.
struct fail_action {
    refusal details;
};
/// Why an answer that has begun cannot be completed.
enum class answer_break { gate_unreachable, gate_refused, length_mismatch };

[[nodiscard]] const char* name_of(answer_break cause);

/// Break off an answer that has begun; the rest is lost.
struct break_off_action {
    answer_break cause = answer_break::gate_unreachable;
    /// Node of the gate that sent the answer.
    node_id node;
};
/// Record the end of an attempt.
struct ended_action {
    attempt_target target;
    attempt_end end = attempt_end::ok;
    microseconds latency{0};
};
/// Ignore this message; it belongs to no open attempt.
struct drop_action {};

using entry_action = std::variant<open_action, reattach_action, cancel_action, pass_answer_action,
                                  keep_answer_action, pass_kept_answer_action, fail_action,
                                  break_off_action, ended_action, drop_action>;

/// Input of advance() besides the call and the event.
struct entry_context {
    retry_budget& budget;
    /// Chooses an endpoint that was not tried, with a fresh id; nothing when there is none.
    const std::function<std::optional<attempt_target>(const std::vector<node_id>& tried)>& choose;
    instant now{};
    budget_rules rules;
};

/// Advances a call by one event. Guarantees: a call that is not idempotent is opened again only
/// after every earlier attempt is proven not run; not_run is reported only when that holds for all
/// attempts; exactly one answer, failure or break-off ends a call whose caller waits.
[[nodiscard]] std::vector<entry_action> advance(entry_call& state, const entry_event& event,
                                                const entry_context& context);

/// When the call next needs a timer_event; instant::max() for never.
[[nodiscard]] instant next_timer(const entry_call& state);

} // namespace cyclamenhatch::call
