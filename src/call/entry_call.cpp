#include "call/entry_call.h"

#include "call/held_request.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamenhatch::call {
namespace {

constexpr microseconds first_reattach_delay{50'000};
constexpr std::uint32_t max_reattach_doublings = 4;
/// Retry delay advised to the caller when no gate gave one.
constexpr milliseconds default_retry_after{1000};
/// The same after a refusal that holds for one gate only.
constexpr milliseconds unstated_retry_after{100};
/// Gates that may refuse one call before it fails: enough to find a free one among a few, and a
/// bound on the extra messages during an overload.
constexpr std::uint32_t max_refusals = 4;
/// An idempotent call is sent elsewhere after this many unanswered reattaches.
constexpr std::uint32_t max_idempotent_reattaches = 2;
/// A reattach asks for the rest of an answer of which nothing arrived for this long: the gate may
/// have sent it over a link that this node never considered open.
constexpr microseconds answer_idle_time{1'000'000};
/// Reattaches for the rest of an answer before it is broken off. With the delays above they take
/// 5 s, longer than it takes to close a silent link, open another and drain a queue of seconds.
constexpr std::uint32_t max_answering_reattaches = 8;
/// A server error is not retried elsewhere with less time left than this.
constexpr microseconds min_retry_time{20'000};

using actions = std::vector<entry_action>;

bool is_current(const entry_call& state, const call_id& call) {
    return !state.is_over && state.current && state.current->target.call == call;
}

microseconds age(const attempt& opened, instant now) {
    return now - opened.opened_at;
}

void fail(entry_call& state, refusal details, actions& out) {
    state.is_over = true;
    if (state.has_kept_answer) {
        out.emplace_back(pass_kept_answer_action{});
        return;
    }
    if (state.may_have_run) {
        details.outcome = msg::call_outcome::unknown;
    }
    if (details.outcome == msg::call_outcome::not_run && details.retry_after.count() == 0) {
        details.retry_after = unstated_retry_after;
    }
    out.emplace_back(fail_action{details});
}

/// Ends a call whose answer has begun and cannot be completed.
void break_off(entry_call& state, answer_break cause, actions& out) {
    state.is_over = true;
    out.emplace_back(break_off_action{cause, state.current->target.node});
}

/// Chooses an endpoint that was not tried, or else one that was busy, which may queue the call.
std::optional<attempt_target> choose_next(entry_call& state, const entry_context& context) {
    auto chosen = context.choose(state.tried);
    if (chosen || state.busy.empty()) {
        return chosen;
    }
    const auto busy = std::exchange(state.busy, {});
    std::erase_if(state.tried, [&](const node_id& node) {
        return std::find(busy.begin(), busy.end(), node) != busy.end();
    });
    state.may_wait = true;
    return context.choose(state.tried);
}

/// Opens an attempt at another endpoint, or ends the call with the last refusal.
void open_elsewhere(entry_call& state, const refusal& last_refusal, const entry_context& context,
                    actions& out) {
    const bool is_first = state.arrivals == 0;
    if (context.now >= state.deadline) {
        fail(state,
             {.reason = msg::refusal_reason::deadline, .retry_after = last_refusal.retry_after},
             out);
        return;
    }
    const bool is_exhausted = state.arrivals >= state.max_attempts ||
                              state.refusals > max_refusals ||
                              (state.refusals + state.arrivals > 0 && !last_refusal.retry_helps);
    if (is_exhausted || (!is_first && !has_retry(context.budget, context.rules, context.now))) {
        fail(state, last_refusal, out);
        return;
    }
    state.no_endpoint_reason.reset();
    auto chosen = choose_next(state, context);
    if (!chosen && state.no_endpoint_reason) {
        fail(state, *state.no_endpoint_reason, out);
        return;
    }
    if (!chosen || (!is_first && !spend_retry(context.budget, context.rules, context.now))) {
        fail(state, last_refusal, out);
        return;
    }
    state.tried.push_back(chosen->node);
    state.current = attempt{.target = *chosen, .opened_at = context.now};
    const bool no_wait = chosen->has_room && !state.may_wait;
    out.emplace_back(
        open_action{std::move(*chosen), static_cast<std::uint32_t>(state.arrivals + 1), no_wait});
}

/// Ends the current attempt, whose outcome is unknown.
void give_up_attempt(entry_call& state, instant now, actions& out) {
    state.may_have_run = true;
    ++state.arrivals;
    out.emplace_back(cancel_action{state.current->target});
    // Once an answer has begun, its attempt is already recorded.
    if (!state.is_answering) {
        out.emplace_back(
            ended_action{state.current->target, attempt_end::failed, age(*state.current, now)});
    }
    state.current.reset();
}

refusal lost_attempt() {
    return {.outcome = msg::call_outcome::unknown,
            .reason = msg::refusal_reason::upstream_unreachable,
            .retry_helps = true,
            .retry_after = default_retry_after};
}

/// Gives up the current attempt. An answer that has begun is broken off; otherwise only an
/// idempotent call goes elsewhere.
void abandon(entry_call& state, answer_break cause, const entry_context& context, actions& out) {
    if (state.is_answering) {
        break_off(state, cause, out);
        give_up_attempt(state, context.now, out);
        return;
    }
    give_up_attempt(state, context.now, out);
    if (!state.is_idempotent) {
        fail(state, lost_attempt(), out);
        return;
    }
    open_elsewhere(state, lost_attempt(), context, out);
}

void on_event(entry_call& state, const request_event& /*event*/, const entry_context& context,
              actions& out) {
    if (state.is_over || state.current || !state.tried.empty()) {
        return;
    }
    open_elsewhere(state,
                   {.outcome = msg::call_outcome::not_run,
                    .reason = msg::refusal_reason::no_endpoint,
                    .retry_helps = true,
                    .retry_after = default_retry_after},
                   context, out);
}

/// Whether another attempt may follow a server error.
bool may_retry_error(const entry_call& state, const entry_context& context) {
    return state.is_idempotent && state.arrivals + 1 < state.max_attempts &&
           context.now + min_retry_time < state.deadline &&
           has_retry(context.budget, context.rules, context.now);
}

/// Records progress of the call: the next reattach is due only when nothing follows.
void note_progress(attempt& current, instant now) {
    current.reattach_at = now + answer_idle_time;
    current.reattaches = 0;
    current.is_asking = false;
}

void on_event(entry_call& state, const answer_event& event, const entry_context& context,
              actions& out) {
    if (!is_current(state, event.call) || state.is_answering) {
        out.emplace_back(drop_action{});
        return;
    }
    const auto end = event.is_error ? attempt_end::failed : attempt_end::ok;
    out.emplace_back(ended_action{state.current->target, end, age(*state.current, context.now)});
    if (event.is_error && event.is_whole && may_retry_error(state, context)) {
        out.emplace_back(keep_answer_action{});
        ++state.arrivals;
        state.may_have_run = true;
        state.has_kept_answer = true;
        state.current.reset();
        open_elsewhere(state, lost_attempt(), context, out);
        return;
    }
    out.emplace_back(pass_answer_action{});
    state.is_over = event.is_whole;
    state.is_answering = !event.is_whole;
    if (event.is_whole) {
        state.current.reset();
    } else {
        note_progress(*state.current, context.now);
    }
}

void on_event(entry_call& state, const answer_end_event& event, const entry_context& /*context*/,
              actions& out) {
    if (!is_current(state, event.call) || !state.is_answering) {
        out.emplace_back(drop_action{});
        return;
    }
    state.is_over = true;
    state.current.reset();
}

void on_event(entry_call& state, const broken_answer_event& event, const entry_context& context,
              actions& out) {
    if (!is_current(state, event.call)) {
        out.emplace_back(drop_action{});
        return;
    }
    abandon(state, answer_break::length_mismatch, context, out);
}

/// Whether the gate may still take the call: it has no start now and was asked not to wait, or the
/// call was delayed on its way there.
bool may_ask_again(msg::refusal_reason reason, const entry_call& state) {
    const bool was_no_wait = state.current->target.has_room && !state.may_wait;
    return reason == msg::refusal_reason::busy || reason == msg::refusal_reason::delayed ||
           (was_no_wait && (reason == msg::refusal_reason::rate_limited ||
                            reason == msg::refusal_reason::warming_up));
}

void on_event(entry_call& state, const refused_event& event, const entry_context& context,
              actions& out) {
    if (!is_current(state, event.call)) {
        out.emplace_back(drop_action{});
        return;
    }
    if (state.is_answering) {
        break_off(state, answer_break::gate_refused, out);
        state.current.reset();
        return;
    }
    const bool is_proven = event.details.outcome == msg::call_outcome::not_run;
    // A run with an unknown outcome is not a refusal: the upstream broke off.
    const auto end = is_proven ? attempt_end::refused : attempt_end::failed;
    out.emplace_back(ended_action{state.current->target, end, age(*state.current, context.now)});
    if (may_ask_again(event.details.reason, state)) {
        state.busy.push_back(state.current->target.node);
    }
    state.current.reset();
    state.may_have_run = state.may_have_run || !is_proven;
    ++(has_arrived(event.details) ? state.arrivals : state.refusals);
    const bool is_break = event.details.reason == msg::refusal_reason::upstream_unreachable;
    state.broken_off += is_break && !is_proven ? 1 : 0;
    if ((state.may_have_run && !state.is_idempotent) ||
        !may_repeat(state.broken_off, event.suspect_crashes)) {
        fail(state, event.details, out);
        return;
    }
    open_elsewhere(state, event.details, context, out);
}

/// Asks the gate for the call, or for the rest of its answer, and schedules another reattach in
/// case nothing arrives.
void reattach(entry_call& state, instant now, actions& out) {
    state.current->reattach_at = now + first_reattach_delay;
    state.current->is_asking = true;
    out.emplace_back(reattach_action{state.current->target});
}

void on_event(entry_call& state, const link_lost_event& event, const entry_context& context,
              actions& out) {
    if (state.is_over || !state.current || state.current->target.node != event.node) {
        return;
    }
    // Each message lost with a link reports the loss; one reattach is enough.
    const bool is_asked = state.current->is_asking && state.current->reattach_at > context.now;
    if (!is_asked) {
        reattach(state, context.now, out);
    }
}

void on_event(entry_call& state, const piece_missing_event& event, const entry_context& context,
              actions& out) {
    if (!is_current(state, event.call)) {
        out.emplace_back(drop_action{});
        return;
    }
    // Every piece after the missing one reports the gap; one reattach is enough.
    if (!state.current->is_asking) {
        reattach(state, context.now, out);
    }
}

void on_event(entry_call& state, const piece_event& event, const entry_context& context,
              actions& out) {
    if (!is_current(state, event.call) || !state.is_answering) {
        out.emplace_back(drop_action{});
        return;
    }
    note_progress(*state.current, context.now);
}

void on_event(entry_call& state, const under_way_event& event, const entry_context& context,
              actions& out) {
    if (!is_current(state, event.call)) {
        out.emplace_back(drop_action{});
        return;
    }
    note_progress(*state.current, context.now);
}

void on_event(entry_call& state, const endpoint_gone_event& event, const entry_context& context,
              actions& out) {
    if (state.is_over || !state.current || state.current->target.node != event.node ||
        state.is_answering) {
        return;
    }
    abandon(state, answer_break::gate_unreachable, context, out);
}

/// Whether the reattaches are used up: the call goes elsewhere, or its answer is broken off.
bool is_given_up(const entry_call& state) {
    const auto asked = state.current->reattaches;
    return state.is_answering ? asked >= max_answering_reattaches
                              : state.is_idempotent && asked >= max_idempotent_reattaches;
}

void on_event(entry_call& state, const timer_event& /*event*/, const entry_context& context,
              actions& out) {
    if (state.is_over || !state.current) {
        return;
    }
    // The deadline bounds the time to the answer's head; an answer that has begun is not cut.
    if (!state.is_answering && context.now >= state.deadline) {
        give_up_attempt(state, context.now, out);
        fail(state,
             {.outcome = msg::call_outcome::unknown, .reason = msg::refusal_reason::deadline}, out);
        return;
    }
    auto& current = *state.current;
    if (!current.reattach_at || context.now < *current.reattach_at) {
        return;
    }
    if (is_given_up(state)) {
        abandon(state, answer_break::gate_unreachable, context, out);
        return;
    }
    current.is_asking = true;
    ++current.reattaches;
    const auto doublings = std::min(current.reattaches, max_reattach_doublings);
    current.reattach_at = context.now + first_reattach_delay * (1U << doublings);
    out.emplace_back(reattach_action{current.target});
}

void on_event(entry_call& state, const caller_gone_event& /*event*/, const entry_context& context,
              actions& out) {
    if (state.is_over) {
        return;
    }
    state.is_over = true;
    if (!state.current) {
        return;
    }
    out.emplace_back(cancel_action{state.current->target});
    if (!state.is_answering) {
        out.emplace_back(ended_action{state.current->target, attempt_end::cancelled,
                                      age(*state.current, context.now)});
    }
    state.current.reset();
}

void on_event(entry_call& state, const node_stops_event& /*event*/, const entry_context& context,
              actions& out) {
    if (state.is_over || state.is_answering) {
        return;
    }
    if (state.current) {
        give_up_attempt(state, context.now, out);
    }
    fail(state,
         {.reason = msg::refusal_reason::draining,
          .retry_helps = true,
          .retry_after = default_retry_after},
         out);
}

} // namespace

const char* name_of(answer_break cause) {
    static constexpr std::array names{"gate_unreachable", "gate_refused", "length_mismatch"};
    return names.at(static_cast<std::size_t>(cause));
}

bool has_arrived(const refusal& details) {
    return details.outcome != msg::call_outcome::not_run ||
           details.reason == msg::refusal_reason::upstream_refused ||
           details.reason == msg::refusal_reason::wrong_instance;
}

std::vector<entry_action> advance(entry_call& state, const entry_event& event,
                                  const entry_context& context) {
    actions out;
    std::visit([&](const auto& alternative) { on_event(state, alternative, context, out); }, event);
    return out;
}

instant next_timer(const entry_call& state) {
    const auto until = state.is_answering ? instant::max() : state.deadline;
    return state.current && state.current->reattach_at
               ? std::min(until, *state.current->reattach_at)
               : until;
}

} // namespace cyclamenhatch::call
