#include "call/gate.h"

#include "call/admission.h"
#include "call/call_key.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

using msg::call_outcome;
using msg::refusal_reason;

/// A cancel this close to the deadline is attributed to the deadline.
constexpr microseconds deadline_tolerance{10'000};

/// One in this many starts goes to the longest overdue call, if there is one: the guaranteed share
/// of routes that rank last.
constexpr std::uint32_t starts_per_overdue = 8;

msg::call_refused_msg make_refusal(const gate_state& gate, const call_id& call, refusal details,
                                   instant now) {
    const auto load = current_load(gate, call, now);
    msg::call_refused_msg refused;
    refused.call = make_key(call);
    refused.outcome = details.outcome;
    refused.reason = details.reason;
    refused.retry_helps = details.retry_helps;
    refused.retry_after_ms = static_cast<std::uint32_t>(details.retry_after.count());
    refused.in_flight = load.in_flight;
    refused.queue = load.queue;
    refused.slots = load.slots;
    refused.wait_us = load.wait_us;
    refused.pace_percent = load.pace_percent;
    refused.gate_instance = gate.instance;
    refused.calls_per_s = rate_in_force(gate, now).value_or(0);
    refused.cold_ms = static_cast<std::uint32_t>(cold_left(gate.warm, now).count());
    refused.upstream_leaves = gate.is_upstream_leaving;
    return refused;
}

/// Ends a call that did not run or has no answer, and refuses it to its waiter.
void refuse(gate_state& gate, const call_id& call, refusal details, instant now,
            gate_actions& out) {
    if (details.reason == refusal_reason::warming_up) {
        details.retry_after = take_turn(gate.warm, details.retry_after, now);
    }
    ++gate.counters.refused[static_cast<std::size_t>(details.reason)];
    auto refused = make_refusal(gate, call, details, now);
    const auto waiter = gate.memory.calls[call].waiter;
    remember_refusal(gate.memory, call, refused, gate.settings.memory, now);
    out.emplace_back(send_refusal_action{waiter, std::move(refused)});
}

void start(gate_state& gate, const call_id& call, const owner_id& owner, instant deadline,
           instant now, gate_actions& out) {
    auto& entry = gate.memory.calls[call];
    note_start(gate.routes, entry.route, now);
    entry.state = memory_state::running;
    gate.running.emplace(
        call, running_call{owner, entry.route, now, deadline, pace_percent_at(gate.pace, now)});
    note_start(gate.rate, now);
    note_start(gate.warm, now);
    ++gate.shares.owners[owner].running;
    ++gate.counters.dispatched;
    out.emplace_back(run_action{call});
}

void refuse_queued(gate_state& gate, const queued_call& waiting, const refusal& details,
                   instant now, gate_actions& out) {
    const auto call = waiting.place->second.call;
    remove(gate.queue, gate.shares, waiting);
    refuse(gate, call, details, now, out);
    out.emplace_back(release_action{call});
}

queued_call choose_next(gate_state& gate, instant now) {
    if (++gate.starts_in_order >= starts_per_overdue) {
        if (auto overdue = find_overdue(gate.queue, now)) {
            gate.starts_in_order = 0;
            return *std::move(overdue);
        }
    }
    return find_next(gate.queue, gate.shares);
}

void fill_slots(gate_state& gate, instant now, gate_actions& out) {
    while (gate.queue.size > 0 && may_start_one(gate, now)) {
        const auto next = choose_next(gate, now);
        const auto deadline = next.place->second.deadline;
        if (deadline <= now) {
            const auto route = gate.memory.calls[next.place->second.call].route;
            refuse_queued(gate, next, make_deadline_refusal(gate, route, now), now, out);
            continue;
        }
        const auto call = next.place->second.call;
        remove(gate.queue, gate.shares, next);
        start(gate, call, next.owner, deadline, now, out);
    }
}

refusal make_queue_full_refusal(const gate_state& gate, const route_id& route, instant now) {
    return {.reason = find_rate_reason(gate, now).value_or(refusal_reason::queue_full),
            .retry_helps = true,
            .retry_after = retry_delay(gate, route, now)};
}

void enqueue(gate_state& gate, const gate_request& request, instant now, gate_actions& out) {
    const auto position = position_of(gate, request, now);
    if (gate.queue.size >= gate.settings.queue_limit) {
        const auto displaced = find_displaced(gate.queue, gate.shares, request.owner, position);
        if (!displaced) {
            refuse(gate, request.call, make_queue_full_refusal(gate, request.route, now), now, out);
            return;
        }
        const auto& route = gate.memory.calls[displaced->place->second.call].route;
        refuse_queued(gate, *displaced, make_queue_full_refusal(gate, route, now), now, out);
    }
    push(gate.queue, gate.shares, request.owner,
         {.call = request.call,
          .deadline = request.deadline,
          .overdue_at = overdue_time(gate, request, now),
          .run_time = expected_run_time(gate, request.route)},
         position);
}

void answer_unknown(gate_state& gate, const gate_request& request, instant now, gate_actions& out) {
    const bool is_same_run = request.gate_instance == gate.instance;
    const bool is_proven = is_same_run && now >= gate.memory.uncertain_until &&
                           place_tombstone(gate.memory, request.call, gate.settings.memory, now);
    gate.counters.tombstones += is_proven ? 1 : 0;
    const auto outcome = is_proven ? call_outcome::not_run : call_outcome::unknown;
    out.emplace_back(send_refusal_action{
        request.entry_node,
        make_refusal(gate, request.call,
                     {.outcome = outcome, .reason = refusal_reason::none, .retry_helps = true},
                     now)});
}

/// Answers a repeated open of a remembered call: with its end, or not at all while it waits or
/// runs.
void answer_known(gate_state& gate, remembered_call& remembered, const gate_request& request,
                  instant now, gate_actions& out) {
    remembered.waiter = request.entry_node;
    switch (remembered.state) {
    case memory_state::queued:
    case memory_state::running:
        return;
    case memory_state::answered:
        if (remembered.answer) {
            out.emplace_back(send_answer_action{request.entry_node, remembered.answer});
            return;
        }
        out.emplace_back(send_refusal_action{
            request.entry_node,
            make_refusal(gate, request.call,
                         {.outcome = call_outcome::unknown, .reason = refusal_reason::duplicate},
                         now)});
        return;
    case memory_state::refused:
        out.emplace_back(send_refusal_action{request.entry_node, remembered.refused});
        return;
    case memory_state::tombstone:
        out.emplace_back(send_refusal_action{request.entry_node,
                                             make_refusal(gate, request.call,
                                                          {.outcome = call_outcome::not_run,
                                                           .reason = refusal_reason::duplicate,
                                                           .retry_helps = true},
                                                          now)});
        return;
    }
}

refusal_reason find_hopeless_reason(const gate_state& gate, instant now) {
    return find_rate_reason(gate, now).value_or(refusal_reason::rate_limited);
}

/// Refuses the queued calls that the rates let start only after their deadline.
void refuse_hopeless(gate_state& gate, instant now, gate_actions& out) {
    if (!rate_in_force(gate, now)) {
        return;
    }
    std::size_t calls_ahead = 0;
    for (const auto& waiting : list_in_order(gate.queue)) {
        const auto& call = waiting.place->second;
        const auto start_at = now + wait_for_rates(gate, calls_ahead, now);
        if (start_at + call.run_time <= call.deadline) {
            ++calls_ahead;
            continue;
        }
        const auto route = gate.memory.calls[call.call].route;
        refuse_queued(gate, waiting,
                      {.reason = find_hopeless_reason(gate, now),
                       .retry_helps = true,
                       .retry_after = retry_delay(gate, route, now)},
                      now, out);
    }
}

/// Whether no connection to the upstream could be made.
bool is_unreachable(const upstream_end& end) {
    return end.is_not_run && !end.held_for &&
           end.not_run_reason == refusal_reason::upstream_unreachable;
}

void stop_running(gate_state& gate, const call_id& call, instant now) {
    const auto it = gate.running.find(call);
    note_stop(gate.routes, it->second.route, now);
    count_usage(gate.shares, gate.limit.slots, now);
    auto& owner = gate.shares.owners[it->second.owner];
    --owner.running;
    ++owner.usage.calls;
    gate.running.erase(it);
}

/// Counts a run cut at its deadline as a sample of a slow upstream; one cut earlier is no sample.
void record_cut_run(gate_state& gate, const call_id& call, instant now) {
    const auto& run = gate.running.at(call);
    if (now + deadline_tolerance >= run.deadline) {
        note_sample(gate.limit, now - run.started_at, true,
                    static_cast<std::uint32_t>(gate.running.size()));
    }
}

void refuse_all_queued(gate_state& gate, const refusal& details, instant now, gate_actions& out) {
    while (gate.queue.size > 0) {
        refuse_queued(gate, find_next(gate.queue, gate.shares), details, now, out);
    }
}

void refuse_queued_when_closed(gate_state& gate, instant now, gate_actions& out) {
    if (const auto closed = find_closed_reason(gate)) {
        refuse_all_queued(gate, *closed, now, out);
    }
}

/// Applies one reason for taking no new calls.
gate_actions close(gate_state& gate, bool& reason, bool is_closed, instant now) {
    gate_actions out;
    reason = is_closed;
    refuse_queued_when_closed(gate, now, out);
    return out;
}

} // namespace

gate_actions on_open(gate_state& gate, const gate_request& request, instant now) {
    gate_actions out;
    const auto it = gate.memory.calls.find(request.call);
    if (it != gate.memory.calls.end()) {
        ++(request.is_reattach ? gate.counters.reattached : gate.counters.duplicates);
        answer_known(gate, it->second, request, now, out);
        return out;
    }
    if (request.is_reattach) {
        answer_unknown(gate, request, now, out);
        return out;
    }
    ++gate.counters.opened;
    auto& entry = gate.memory.calls[request.call];
    entry.waiter = request.entry_node;
    entry.keep_until = request.deadline;
    entry.route = request.route;
    note_rank(gate.routes, request.route,
              rank_of(request.priority, expected_run_time(gate, request.route), false));
    if (request.known_calls_per_s && !gate.rate.is_confirmed && !gate.rate.calls_per_s) {
        // The gate has restarted: the upstream's limit holds on.
        set_rate(gate.rate, request.known_calls_per_s, now);
    }
    if (const auto refused = find_refusal(gate, request, now)) {
        refuse(gate, request.call, *refused, now, out);
        return out;
    }
    count_usage(gate.shares, gate.limit.slots, now);
    if (gate.queue.size == 0 && may_start_one(gate, now)) {
        start(gate, request.call, request.owner, request.deadline, now, out);
        return out;
    }
    enqueue(gate, request, now, out);
    return out;
}

gate_actions on_cancel(gate_state& gate, const call_id& call, instant now) {
    gate_actions out;
    const auto it = gate.memory.calls.find(call);
    if (it == gate.memory.calls.end()) {
        // An open of this call may still arrive; the tombstone makes the gate refuse it.
        const bool is_kept = place_tombstone(gate.memory, call, gate.settings.memory, now);
        gate.counters.ignored_cancels += is_kept ? 0 : 1;
        return out;
    }
    const auto state = it->second.state;
    if (state != memory_state::queued && state != memory_state::running) {
        return out;
    }
    ++gate.counters.cancelled;
    const bool was_running = state == memory_state::running;
    const auto outcome = was_running ? call_outcome::unknown : call_outcome::not_run;
    if (was_running) {
        record_cut_run(gate, call, now);
        stop_running(gate, call, now);
        out.emplace_back(abort_action{call});
    } else {
        remove(gate.queue, gate.shares, *find_queued(gate.queue, call));
    }
    out.emplace_back(release_action{call});
    remember_refusal(
        gate.memory, call,
        make_refusal(gate, call, {.outcome = outcome, .reason = refusal_reason::cancelled}, now),
        gate.settings.memory, now);
    fill_slots(gate, now, out);
    return out;
}

gate_actions on_upstream_end(gate_state& gate, const call_id& call, const upstream_end& end,
                             instant now) {
    gate_actions out;
    const auto it = gate.running.find(call);
    if (it == gate.running.end()) {
        return out;
    }
    const auto in_flight = static_cast<std::uint32_t>(gate.running.size());
    // A slow spell of the host is no sign of too many calls, and passes.
    const auto usual_time =
        to_usual_time(end.latency, it->second.pace_percent, pace_percent_at(gate.pace, now));
    if (end.is_answered) {
        note_run(gate.routes, it->second.route, usual_time);
    }
    if (end.is_answered || end.is_overload) {
        note_sample(gate.limit, usual_time, end.is_overload, in_flight);
    }
    stop_running(gate, call, now);
    if (end.is_answered) {
        ++gate.counters.answered;
        const auto waiter = gate.memory.calls[call].waiter;
        remember_answer(gate.memory, call, end.answer, gate.settings.memory, now);
        if (end.answer) {
            out.emplace_back(send_answer_action{waiter, end.answer});
        }
    } else {
        if (is_unreachable(end)) {
            note_doubt(gate.warm, cold_reason::unreachable, now);
        }
        refuse(gate, call, make_end_refusal(end), now, out);
    }
    out.emplace_back(release_action{call});
    fill_slots(gate, now, out);
    return out;
}

gate_actions on_gate_timer(gate_state& gate, instant now) {
    gate_actions out;
    count_usage(gate.shares, gate.limit.slots, now);
    const auto least =
        microseconds(static_cast<std::int64_t>(std::min(gate.limit.baseline_us, 50'000.0)));
    for (const auto& expired : find_expired(gate.queue, now + least)) {
        const auto route = gate.memory.calls[expired.place->second.call].route;
        refuse_queued(gate, expired, make_deadline_refusal(gate, route, now), now, out);
    }
    refuse_hopeless(gate, now, out);
    fill_slots(gate, now, out);
    trim(gate.memory, gate.settings.memory, now);
    forget_idle(gate.routes, now);
    return out;
}

gate_actions on_upstream_change(gate_state& gate, const msg::upstream_record_msg& upstream,
                                instant now) {
    gate_actions out;
    count_usage(gate.shares, gate.limit.slots, now);
    const bool is_other =
        gate.service.value != upstream.service || gate.version.value != upstream.version;
    if (is_other) {
        refuse_all_queued(gate, {.reason = refusal_reason::wrong_version, .retry_helps = true}, now,
                          out);
        gate.limit = {};
    }
    gate.service = service_id(upstream.service);
    gate.version = version_id(upstream.version);
    gate.upstream = upstream.state;
    if (upstream.state == msg::upstream_state::ready) {
        // The record of one that leaves may repeat an old cold time.
        note_stated(gate.warm, milliseconds{upstream.cold_ms}, now);
    }
    gate.limit.is_adaptive = gate.settings.has_adaptive_limit;
    set_slots(gate.limit, upstream.slots);
    refuse_queued_when_closed(gate, now, out);
    fill_slots(gate, now, out);
    return out;
}

gate_actions on_stated_rate(gate_state& gate, const call_id& call,
                            std::optional<double> calls_per_s, instant now) {
    gate_actions out;
    const auto it = gate.running.find(call);
    if (it == gate.running.end()) {
        return out;
    }
    // An answer that was under way when the limit was stated says nothing newer.
    if (!calls_per_s && gate.rate.calls_per_s && it->second.started_at <= gate.rate.stated_at) {
        return out;
    }
    gate.rate.is_confirmed = true;
    if (calls_per_s) {
        gate.rate.stated_at = now;
    }
    set_rate(gate.rate, calls_per_s, now);
    fill_slots(gate, now, out);
    return out;
}

gate_actions on_warm_up_terms(gate_state& gate, const std::optional<warm_up_terms>& terms,
                              instant now) {
    gate_actions out;
    set_terms(gate.warm, terms, now);
    fill_slots(gate, now, out);
    return out;
}

void on_stated_pace(gate_state& gate, const call_id& call, std::uint64_t percent, instant now) {
    if (gate.running.contains(call)) {
        gate.pace = make_pace(percent, now);
    }
}

void begin_upstream_run(gate_state& gate) {
    gate.rate = {};
    begin_run(gate.warm);
    gate.pace = {};
    gate.is_upstream_leaving = false;
}

gate_actions on_upstream_leaving(gate_state& gate, instant now) {
    return close(gate, gate.is_upstream_leaving, true, now);
}

gate_actions on_drain(gate_state& gate, instant now) {
    return close(gate, gate.is_draining, true, now);
}

gate_actions on_evacuation(gate_state& gate, bool is_evacuated, instant now) {
    return close(gate, gate.is_evacuated, is_evacuated, now);
}

void on_reservations(gate_state& gate, const std::map<owner_id, std::uint32_t>& reserved,
                     instant now) {
    count_usage(gate.shares, gate.limit.slots, now);
    set_reservations(gate.shares, reserved);
}

} // namespace cyclamenhatch::call
