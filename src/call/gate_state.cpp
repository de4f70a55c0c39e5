#include "call/admission.h"
#include "call/gate.h"

#include <algorithm>

/// What a gate tells of its calls and its load.
namespace cyclamenhatch::call {

bool is_under_way(const gate_state& gate, const call_id& call) {
    const auto it = gate.memory.calls.find(call);
    return it != gate.memory.calls.end() &&
           (it->second.state == memory_state::queued || it->second.state == memory_state::running);
}

node_id waiter_of(const gate_state& gate, const call_id& call) {
    const auto it = gate.memory.calls.find(call);
    return it == gate.memory.calls.end() ? node_id{} : it->second.waiter;
}

std::optional<double> rate_in_force(const gate_state& gate, instant now) {
    const auto warm_up_rate = calls_per_s(gate.warm, now);
    if (warm_up_rate && gate.rate.calls_per_s) {
        return std::min(*warm_up_rate, *gate.rate.calls_per_s);
    }
    return warm_up_rate ? warm_up_rate : gate.rate.calls_per_s;
}

load_report current_load(const gate_state& gate, const call_id& call, instant now) {
    const auto it = gate.memory.calls.find(call);
    const auto wait = it == gate.memory.calls.end()
                          ? longest_wait(gate, now)
                          : expected_route_wait(gate, it->second.route, now);
    return {.in_flight = static_cast<std::uint32_t>(gate.running.size()),
            .queue = static_cast<std::uint32_t>(gate.queue.size),
            .slots = current_limit(gate.limit),
            .wait_us = static_cast<std::uint32_t>(wait.count()),
            .pace_percent = pace_percent_at(gate.pace, now)};
}

} // namespace cyclamenhatch::call
