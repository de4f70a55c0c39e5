#include "clock/process_clock.h"
#include "edge/entry_side.h"
#include "edge/entry_steps.h"

#include <utility>
#include <vector>

/// How the calls of an entry end when its node stops.
namespace cyclamenhatch::edge {
namespace {

using lock_type = state_lock;

} // namespace

std::size_t count_in_flight(const entry_side& side) {
    const std::lock_guard guard(side.lock);
    return side.flows.size();
}

void limit_runs(entry_side& side, instant runs_end) {
    const lock_type guard(side.lock);
    side.runs_end = runs_end;
}

std::size_t answer_pending_calls(entry_side& side) {
    lock_type guard(side.lock);
    side.runs_end = current_time();
    std::vector<std::pair<entry_flow_ptr, step_result>> results;
    for (const auto& [exchange, flow] : side.flows) {
        if (!flow->state.is_answering && !flow->state.is_over) {
            results.emplace_back(flow, step(side, flow, call::node_stops_event{}));
        }
    }
    guard.unlock();
    for (auto& [flow, result] : results) {
        perform(side, flow, std::move(result), nullptr);
    }
    return results.size();
}

std::size_t cut_off(entry_side& side) {
    lock_type guard(side.lock);
    const auto flows = std::exchange(side.flows, {});
    side.attempts.clear();
    side.timers.clear();
    side.allowance_waiters.clear();
    guard.unlock();
    for (const auto& [key, flow] : flows) {
        log_call(side, describe_cut(*flow, "call_broken_off", "node_stops"));
        break_off(flow->exchange);
    }
    return flows.size();
}

} // namespace cyclamenhatch::edge
