#pragma once

#include "call/call_sample.h"
#include "call/load_table.h"
#include "call/retry_budget.h"
#include "messages/peer_message.h"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

/// One call at its entry node, from the caller's request to its only answer, as a state machine.
namespace cyclamenhatch::call {

/// Where an attempt goes. The id names the attempt at its gate and is never used again.
struct pick {
    call_id call;
    node_id node;
    peer_address address;
    data_centre_id data_centre;
    /// Version of the endpoint, for the evidence of moves.
    version_id version;
    /// The endpoint is believed to have a free slot, so that the gate need not let the call wait.
    bool has_room = false;
    /// Run of the gate's process as last told; 0 when not known.
    std::uint64_t gate_instance = 0;
};

/// The ways in which a gate's or this entry's refusal reads; see refusal_reason.
struct refusal {
    msg::call_outcome outcome = msg::call_outcome::not_run;
    msg::refusal_reason reason = msg::refusal_reason::none;
    bool retry_helps = false;
    milliseconds retry_after{0};
};

/// One dispatch to a gate.
struct attempt {
    pick to;
    instant opened_at{};
    /// When to ask the gate for the call again: set after the link or a piece was lost, and while
    /// an answer comes, for when nothing more does.
    std::optional<instant> reattach_at;
    std::uint32_t reattaches = 0;
    /// The gate was asked, and has not answered yet.
    bool is_asking = false;
};

/// The state of one call. Not thread safe; the holder guards it.
struct entry_call {
    instant deadline{};
    bool is_idempotent = false;
    /// Most endpoints that the call may be sent to. A gate that refuses is none of them.
    std::uint32_t max_attempts = 1;
    /// Endpoints that the call has reached, or may have.
    std::uint32_t arrivals = 0;
    /// Gates that had no free slot; they are asked again, to let the call wait, once no other is
    /// left.
    std::vector<node_id> busy;
    /// The call waits at the next gate that takes it.
    bool may_wait = false;
    std::uint32_t refusals = 0;
    /// A server error is at hand that is passed on when no other endpoint gives a better answer.
    bool has_kept_answer = false;
    /// Why no endpoint was chosen, when the choice says more than that none is left.
    std::optional<refusal> no_choice;
    /// The attempt that is under way.
    std::optional<attempt> current;
    std::vector<node_id> tried;
    /// An attempt that was given up may have run.
    bool may_have_run = false;
    bool is_over = false;
    /// The first part of an answer was passed on: no other endpoint can be tried, and the rest is
    /// asked for over a new link when one is lost.
    bool is_answering = false;
};

/// Whether the upstream itself saw the call, so that another attempt costs it or others work.
[[nodiscard]] bool has_arrived(const refusal& told);

struct request_event {};
/// An answer's head came. `is_whole` when its body came with it.
struct answer_event {
    call_id call;
    bool is_whole = true;
    /// The upstream told a server error.
    bool is_error = false;
};
/// The rest of an answer that had begun has come.
struct answer_end_event {
    call_id call;
};
struct refused_event {
    call_id call;
    refusal told;
};
struct link_lost_event {
    node_id node;
};
/// A piece of the answer came before one that is missing.
struct piece_missing_event {
    call_id call;
};
/// The next piece of the answer came.
struct piece_event {
    call_id call;
};
/// The gate says that the call that was asked for waits or runs there.
struct under_way_event {
    call_id call;
};
/// The endpoint's process is gone for good: its member is dead or came back in another incarnation.
/// Ends no answer that has begun: a node that leaves the fleet brings its answers to their end.
struct endpoint_gone_event {
    node_id node;
};
struct timer_event {};
struct caller_gone_event {};
/// This node ends now.
struct node_stops_event {};

using entry_event =
    std::variant<request_event, answer_event, answer_end_event, refused_event, link_lost_event,
                 piece_missing_event, piece_event, under_way_event, endpoint_gone_event,
                 timer_event, caller_gone_event, node_stops_event>;

/// Send the request to the gate under a new id.
struct open_action {
    pick to;
    std::uint32_t attempt_number = 1;
    /// The gate shall refuse at once when no slot is free.
    bool no_wait = false;
};
/// Ask the gate for the call with this id, or for the rest of its answer; never starts a run.
struct reattach_action {
    pick to;
};
struct cancel_action {
    pick to;
};
/// Pass the answer of this event on to the caller.
struct pass_answer_action {};
/// Keep the answer of this event in case no better one comes.
struct keep_answer_action {};
/// Pass the kept answer on to the caller.
struct pass_kept_answer_action {};
/// Answer the caller without an upstream's answer.
struct fail_action {
    refusal told;
};
/// Why an answer that has begun cannot be brought to its end.
enum class answer_break { gate_unreachable, gate_refused };

[[nodiscard]] const char* name_of(answer_break cause);

/// Break off an answer that has begun: its rest is lost.
struct break_off_action {
    answer_break cause = answer_break::gate_unreachable;
    /// Where the answer came from.
    node_id from;
};
/// Book the end of an attempt.
struct ended_action {
    pick at;
    attempt_end end = attempt_end::ok;
    microseconds latency{0};
};
/// Nobody waits for this message.
struct drop_action {};

using entry_action = std::variant<open_action, reattach_action, cancel_action, pass_answer_action,
                                  keep_answer_action, pass_kept_answer_action, fail_action,
                                  break_off_action, ended_action, drop_action>;

/// What a step needs besides the call itself.
struct entry_context {
    retry_budget& budget;
    /// An endpoint that is not among those tried, with a fresh id; nothing when there is none.
    const std::function<std::optional<pick>(const std::vector<node_id>& tried)>& choose;
    instant now{};
    budget_rules rules;
};

/// Advances a call by one event. Guarantees: a call that is not idempotent is opened again only
/// after every earlier attempt is proven not run; not_run is told only when that holds of all
/// attempts; exactly one answer, failure or break-off ends a call whose caller waits.
[[nodiscard]] std::vector<entry_action> advance(entry_call& state, const entry_event& event,
                                                const entry_context& context);

/// When the call next needs a timer_event; instant::max() for never.
[[nodiscard]] instant next_timer(const entry_call& state);

} // namespace cyclamenhatch::call
