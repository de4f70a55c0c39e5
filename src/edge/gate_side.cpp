#include "edge/gate_side.h"

#include "call/call_key.h"
#include "call/held_request.h"
#include "clock/process_clock.h"
#include "edge/call_headers.h"
#include "edge/gate_bodies.h"
#include "edge/gate_config.h"
#include "edge/gate_crashes.h"
#include "edge/gate_log.h"
#include "edge/gate_request.h"
#include "edge/gate_warm_up.h"
#include "edge/upstream_connection.h"
#include "edge/upstream_headers.h"
#include "model/handler_guard.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

/// A call that its entry does not cancel is aborted this long after its deadline.
constexpr microseconds overdue_grace{250'000};
/// A call whose body makes no progress for this long is aborted.
constexpr microseconds stall_timeout{30'000'000};
constexpr unsigned overloaded_status = 503;
/// A call that must not run twice reuses only a recently used connection: the upstream may have
/// dropped one that was idle for longer, and then it would be unknown whether the call ran.
constexpr milliseconds fresh_idle{500};
constexpr milliseconds any_idle{60'000};

/// Messages that open or cancel a call are logged when they waited this long on their link.
constexpr microseconds late_message_threshold{100'000};

using lock_type = state_lock;

void perform(gate_side& side, call::gate_actions actions);

void append(call::gate_actions& actions, call::gate_actions&& more) {
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

std::shared_ptr<msg::call_answer_msg> make_answer(const gate_side& side, const gate_flow& flow,
                                                  answer_head head, body_piece piece) {
    const auto now = current_time();
    const auto load = call::current_load(side.gate, flow.call, now);
    auto answer = std::make_shared<msg::call_answer_msg>();
    answer->call = call::make_key(flow.call);
    answer->status = static_cast<std::uint16_t>(head.status);
    answer->headers = to_wire(side.names, std::move(head.headers));
    answer->body = std::move(piece.bytes);
    answer->last = piece.is_last;
    answer->in_flight = load.in_flight;
    answer->queue = load.queue;
    answer->slots = load.slots;
    answer->wait_us = load.wait_us;
    answer->pace_percent = load.pace_percent;
    answer->gate_us = static_cast<std::uint32_t>(flow.queue_time.count());
    answer->upstream_us = static_cast<std::uint32_t>(flow.upstream_time.count());
    answer->gate_instance = side.gate.instance;
    answer->calls_per_s = call::rate_in_force(side.gate, now).value_or(0);
    answer->cold_ms = static_cast<std::uint32_t>(call::cold_left(side.gate.warm, now).count());
    answer->upstream_leaves = side.gate.is_upstream_leaving;
    return answer;
}

void end_not_run(gate_side& side, const gate_flow_ptr& flow, msg::refusal_reason reason,
                 bool is_whole) {
    if (!is_whole) {
        abort_exchange(flow->exchange);
    }
    if (reason == msg::refusal_reason::wrong_instance) {
        // The announced upstream is gone; its successor must announce itself first.
        const lock_type guard(side.lock);
        side.gate.upstream = msg::upstream_state::none;
    }
    end_call(side, flow->call, {.is_not_run = true, .not_run_reason = reason});
}

/// Applies what an answer says about the upstream itself.
void apply_statement(gate_side& side, const gate_flow& flow, const answer_head& head) {
    const auto statement = read_statement(side.names, head);
    if (statement.is_limit_invalid) {
        log_invalid_rate(side, flow);
    }
    lock_type guard(side.lock);
    if (flow.upstream_run != side.upstream_run) {
        return;
    }
    const auto now = current_time();
    if (statement.pace_percent) {
        call::on_stated_pace(side.gate, flow.call, *statement.pace_percent, now);
    }
    const bool is_new_fault = statement.is_load_invalid && !side.has_invalid_load;
    side.has_invalid_load = side.has_invalid_load || statement.is_load_invalid;
    const auto rate_before = side.gate.rate.calls_per_s;
    call::gate_actions actions;
    if (!statement.is_limit_invalid) {
        actions = call::on_stated_rate(side.gate, flow.call, statement.calls_per_s, now);
    }
    const auto rate = side.gate.rate.calls_per_s;
    const bool begins_to_leave = statement.is_leaving && !side.gate.is_upstream_leaving;
    if (begins_to_leave) {
        append(actions, call::on_upstream_leaving(side.gate, now));
        watch_state(side);
    }
    const auto instance = side.instance;
    guard.unlock();
    if (is_new_fault) {
        log_invalid_load(side, instance, flow.request_id);
    }
    if (rate != rate_before) {
        log_rate(side, instance, rate_before, rate, flow.request_id);
    }
    if (begins_to_leave) {
        log_leaving(side, instance, flow.request_id);
        if (side.on_upstream_leaving) {
            side.on_upstream_leaving(instance);
        }
    }
    perform(side, std::move(actions));
}

} // namespace

void on_answer(gate_side& side, const gate_flow_ptr& flow, answer_head head, body_piece piece) {
    const auto reason = find_not_run_reason(side.names, head);
    // Another upstream at the address speaks for itself only.
    if (reason != msg::refusal_reason::wrong_instance) {
        apply_statement(side, *flow, head);
    }
    if (reason) {
        end_not_run(side, flow, *reason, piece.is_last);
        return;
    }
    lock_type guard(side.lock);
    const auto now = current_time();
    flow->upstream_time = now - flow->started_at;
    flow->progressed_at = now;
    side.histograms.record(segment::upstream, flow->upstream_time);
    const bool is_whole = piece.is_last;
    flow->length = find_answer_length(head.status, flow->request.method, head.headers);
    if (is_mismatch(fit_body(flow->length, piece.bytes.size(), is_whole))) {
        guard.unlock();
        end_mismatched(side, flow, piece.bytes.size(), is_whole);
        return;
    }
    const bool is_overload = head.status == overloaded_status;
    flow->is_good_run = call::is_good_run(head.status);
    auto answer = make_answer(side, *flow, std::move(head), std::move(piece));
    if (is_whole) {
        guard.unlock();
        end_call(side, flow->call,
                 {.answer = std::move(answer),
                  .is_answered = true,
                  .has_run_well = flow->is_good_run,
                  .is_overload = is_overload,
                  .latency = flow->upstream_time});
        return;
    }
    flow->is_answering = true;
    flow->download.offset = answer->body.size();
    flow->head = std::make_unique<msg::call_answer_msg>(*answer);
    const auto entry = flow->entry;
    guard.unlock();
    side.send_to_entry(entry, std::move(*answer));
    read_download(side, flow);
}

namespace {

void run(gate_side& side, const call_id& call) {
    const auto suspects = side.suspects ? side.suspects() : nullptr;
    lock_type guard(side.lock);
    const auto it = side.flows.find(call);
    if (it == side.flows.end()) {
        return;
    }
    const auto flow = it->second;
    const auto now = current_time();
    const auto digest = call::from_request_key(flow->request.digest.get());
    if (const auto held_for = call::find_hold(suspects, digest, now)) {
        guard.unlock();
        end_call(side, call, {.is_not_run = true, .held_for = held_for});
        return;
    }
    if (now >= flow->deadline) {
        guard.unlock();
        end_call(side, call, {.is_not_run = true, .not_run_reason = msg::refusal_reason::deadline});
        return;
    }
    flow->started_at = now;
    flow->progressed_at = now;
    flow->upstream_run = side.upstream_run;
    flow->queue_time = now - flow->received_at;
    flow->exchange =
        prepare_exchange(side.client, flow->request.idempotent ? any_idle : fresh_idle);
    flow->is_writing = !flow->request.last;
    const auto time_left = flow->deadline - now;
    auto head = make_upstream_head(side.names, side.instance, flow->request, time_left);
    auto match = make_answer_match(side.names, head);
    watch_run(side, *flow, match.value, now);
    body_piece first{std::move(flow->request.body), flow->request.last};
    flow->upload = {.offset = first.bytes.size(), .is_whole = first.is_last};
    const auto exchange = flow->exchange;
    guard.unlock();
    side.histograms.record(segment::gate_queue, flow->queue_time);
    upstream_events events;
    events.on_answer = [&side, flow](answer_head answer, body_piece piece) {
        on_answer(side, flow, std::move(answer), std::move(piece));
    };
    events.on_failure = [&side, flow](bool is_not_run) {
        end_call(side, flow->call, {.is_not_run = is_not_run});
    };
    events.on_taken = [&side, flow] { begin_upload(side, flow); };
    log_faults(side, flow, match, events);
    if (flow->link_delay >= late_message_threshold) {
        log_late_dispatch(side, *flow, time_left);
    }
    send_request(exchange, std::move(head), std::move(first), std::move(match), std::move(events));
}

void release(gate_side& side, const call_id& call, bool is_abort) {
    lock_type guard(side.lock);
    const auto it = side.flows.find(call);
    if (it == side.flows.end()) {
        return;
    }
    const auto flow = it->second;
    if (!is_abort) {
        side.flows.erase(it);
    }
    const auto exchange = flow->exchange;
    if (is_abort) {
        call::note_cut(side.crashes, call, current_time());
    }
    guard.unlock();
    if (is_abort && exchange) {
        log_cut(side, *flow);
        abort_exchange(exchange);
    }
}

void perform_one(gate_side& side, call::gate_action& action) {
    if (const auto* to_run = std::get_if<call::run_action>(&action)) {
        // Posted: on an overloaded node, the cancel of a call whose caller has left may be in the
        // same batch of messages, and such a call must not reach the upstream.
        boost::asio::post(side.client->io, [&side, call = to_run->call] { run(side, call); });
    } else if (const auto* to_abort = std::get_if<call::abort_action>(&action)) {
        release(side, to_abort->call, true);
    } else if (const auto* to_release = std::get_if<call::release_action>(&action)) {
        release(side, to_release->call, false);
    } else if (const auto* answer = std::get_if<call::send_answer_action>(&action)) {
        side.send_to_entry(answer->waiter, msg::call_answer_msg(*answer->answer));
    } else if (auto* refusal = std::get_if<call::send_refusal_action>(&action)) {
        side.send_to_entry(refusal->waiter, std::move(refusal->refused));
    }
}

void perform(gate_side& side, call::gate_actions actions) {
    for (auto& action : actions) {
        perform_one(side, action);
    }
}

/// Forgets what an earlier run of the upstream has said about itself. Precondition: the lock is
/// held.
void follow_run(gate_side& side, const msg::upstream_record_msg& upstream) {
    const bool is_restarted =
        side.started_ms > 0 && upstream.started_ms > 0 && side.started_ms != upstream.started_ms;
    if (side.instance != upstream.instance || is_restarted) {
        ++side.upstream_run;
        side.has_invalid_load = false;
        call::note_other_run(side.crashes);
        call::begin_upstream_run(side.gate);
    } else if (upstream.instance.empty() && upstream.state == msg::upstream_state::ready) {
        // Without an instance id only the announcement shows that another run has begun.
        side.gate.is_upstream_leaving = false;
    }
    if (side.instance != upstream.instance || upstream.started_ms > 0) {
        side.started_ms = upstream.started_ms;
    }
    side.instance = upstream.instance;
}

/// Calls that were not cancelled in time, or whose body makes no progress.
std::vector<call_id> find_overdue(const gate_side& side, instant now) {
    std::vector<call_id> overdue;
    for (const auto& [call, flow] : side.flows) {
        if (!flow->exchange) {
            continue;
        }
        const bool is_late = !flow->is_answering && now > flow->deadline + overdue_grace;
        const bool is_stalled = flow->is_answering && now > flow->progressed_at + stall_timeout;
        if (is_late || is_stalled) {
            overdue.push_back(call);
        }
    }
    return overdue;
}

} // namespace

void end_call(gate_side& side, const call_id& call, const call::upstream_end& end) {
    lock_type guard(side.lock);
    const auto now = current_time();
    auto watched = watch_end(side, call, end, now);
    auto actions = call::on_upstream_end(side.gate, call, end, now);
    guard.unlock();
    carry_out(side, std::move(watched));
    perform(side, std::move(actions));
}

void on_open(gate_side& side, const node_id& sender, msg::call_open_msg message,
             microseconds delay) {
    if (message.reattach && resend_lost(side, sender, message)) {
        return;
    }
    const auto now = current_time();
    side.histograms.record(segment::link_delay, delay);
    const auto call = call::from_key(message.call.get());
    const auto request = read_open(message, sender, find_hold(side, message, now), delay, now);
    lock_type guard(side.lock);
    const auto rate_before = side.gate.rate.calls_per_s;
    const bool was_under_way = call::is_under_way(side.gate, call);
    const bool is_lost = message.reattach && message.has_head && !was_under_way;
    const auto received = message.received;
    auto actions = call::on_open(side.gate, request, now);
    if (!was_under_way && call::is_under_way(side.gate, call)) {
        auto flow = std::make_shared<gate_flow>();
        flow->call = call;
        flow->entry = sender;
        flow->request = std::move(message);
        flow->received_at = now;
        flow->link_delay = delay;
        flow->deadline = request.deadline;
        side.flows.emplace(call, std::move(flow));
    }
    const auto rate = side.gate.rate.calls_per_s;
    const auto instance = side.instance;
    guard.unlock();
    if (is_lost) {
        log_lost(side, sender, received);
    }
    if (rate != rate_before) {
        log_rate(side, instance, rate_before, rate, sender.value);
    }
    perform(side, std::move(actions));
}

void on_cancel(gate_side& side, const call_id& call, microseconds delay) {
    lock_type guard(side.lock);
    const auto now = current_time();
    side.undelivered.erase(call);
    const auto it = side.flows.find(call);
    const auto flow = it == side.flows.end() ? nullptr : it->second;
    const auto ignored_before = side.gate.counters.ignored_cancels;
    auto actions = call::on_cancel(side.gate, call, now);
    const bool is_ignored = side.gate.counters.ignored_cancels != ignored_before;
    guard.unlock();
    if (flow && flow->exchange && std::max(flow->link_delay, delay) >= late_message_threshold) {
        log_cancelled_run(side, *flow, delay, now);
    }
    if (is_ignored) {
        log_ignored_cancel(side, call);
    }
    perform(side, std::move(actions));
}

void on_upstream(gate_side& side, const msg::upstream_record_msg& upstream) {
    lock_type guard(side.lock);
    follow_run(side, upstream);
    const auto now = current_time();
    auto actions = call::on_upstream_change(side.gate, upstream, now);
    append(actions, apply_warm_up_terms(side, now));
    watch_state(side);
    const auto event = watch_cold(side, now);
    guard.unlock();
    log_cold(side, event);
    perform(side, std::move(actions));
}

void on_drain(gate_side& side) {
    lock_type guard(side.lock);
    auto actions = call::on_drain(side.gate, current_time());
    watch_state(side);
    guard.unlock();
    perform(side, std::move(actions));
}

void on_timer(gate_side& side, const snapshot_ptr& config) {
    lock_type guard(side.lock);
    const auto now = current_time();
    auto closed = apply_config(side, config, now);
    auto actions = call::on_gate_timer(side.gate, now);
    const auto event = watch_cold(side, now);
    const auto overdue = find_overdue(side, now);
    const auto dropped = trim_undelivered(side, now);
    auto watched = watch_time(side, now);
    guard.unlock();
    carry_out(side, std::move(watched));
    log_cold(side, event);
    for (const auto& answer : dropped) {
        log_dropped(side, answer);
    }
    read_held_back(side);
    perform(side, std::move(closed));
    perform(side, std::move(actions));
    for (const auto& call : overdue) {
        release(side, call, true);
        end_call(side, call, {.is_overload = true});
    }
}

} // namespace cyclamenhatch::edge
