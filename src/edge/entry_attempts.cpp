#include "edge/entry_attempts.h"

#include "call/call_key.h"
#include "clock/process_clock.h"
#include "edge/entry_steps.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

using lock_type = state_lock;

/// Attempts that are sent at this age of the call or later are logged.
constexpr microseconds late_send_threshold{1'000'000};

std::uint64_t time_left(instant end, instant now) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (end - now).count()));
}

msg::call_open_msg make_reattach(const entry_flow& flow, const call::attempt_target& target,
                                 instant now) {
    msg::call_open_msg message;
    message.call = call::make_key(target.call);
    message.reattach = true;
    message.service = flow.request.service;
    message.version = target.version.value;
    message.gate_instance = target.gate_instance;
    message.deadline_us = time_left(flow.state.deadline, now);
    message.has_head = flow.state.is_answering;
    message.received = flow.download.offset;
    return message;
}

msg::call_open_msg make_open(const entry_flow& flow, const call::open_action& action,
                             instant runs_end, instant now) {
    msg::call_open_msg message(flow.request);
    message.version = action.target.version.value;
    message.no_wait = action.no_wait;
    if (flow.objective) {
        // At least 1, since 0 means no objective.
        message.objective_us = std::max<std::uint64_t>(1, time_left(*flow.objective, now));
    }
    message.call = call::make_key(action.target.call);
    message.gate_instance = action.target.gate_instance;
    message.known_calls_per_s = action.target.calls_per_s;
    message.attempt =
        static_cast<std::uint8_t>(std::min(flow.request.attempt + action.attempt_number - 1, 255U));
    message.deadline_us = time_left(std::min(flow.state.deadline, runs_end), now);
    return message;
}

void log_late_send(const entry_side& side, const entry_flow& flow, const call::open_action& open,
                   instant now) {
    const auto age = now - flow.received_at;
    if (age < late_send_threshold) {
        return;
    }
    log_call(side, {log_level::info,
                    "call_sent_late",
                    {{"request", flow.request_id},
                     {"node", open.target.node.value},
                     {"age_ms", ms_text(age)},
                     {"refusals", std::to_string(flow.state.refusals)},
                     {"arrivals", std::to_string(flow.state.arrivals)},
                     {"left_ms", ms_text(flow.state.deadline - now)}}});
}

/// When calls must end at their upstreams.
instant find_runs_end(const entry_side& side) {
    const lock_type guard(side.lock);
    return side.runs_end.value_or(instant::max());
}

void send_now(entry_side& side, const entry_flow& flow, const call::open_action& open) {
    const auto now = current_time();
    ++side.counters.attempts;
    log_late_send(side, flow, open, now);
    side.send_to_gate(open.target.node, open.target.address,
                      make_open(flow, open, find_runs_end(side), now));
}

} // namespace

void send_open(entry_side& side, const entry_flow_ptr& flow, const call::open_action& open) {
    if (flow->state.tried.size() == 1 && flow->state.refusals == 0) {
        send_now(side, *flow, open);
        return;
    }
    run_if_caller_waits(flow->exchange, [&side, flow, open] { send_now(side, *flow, open); });
}

void send_reattach(entry_side& side, const entry_flow& flow, const call::attempt_target& target) {
    side.send_to_gate(target.node, target.address, make_reattach(flow, target, current_time()));
}

void send_cancel(entry_side& side, const call_id& call, const node_id& node,
                 const peer_address& address) {
    msg::call_cancel_msg message;
    message.call = call::make_key(call);
    side.send_to_gate(node, address, std::move(message));
}

void log_undelivered_cancel(const entry_side& side, const node_id& node, const call_id& call) {
    log_call(side, {log_level::warning,
                    "cancel_undelivered",
                    {{"node", node.value},
                     {"call", std::to_string(call.high) + "-" + std::to_string(call.low)}}});
}

} // namespace cyclamenhatch::edge
