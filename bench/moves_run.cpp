#include "bench/moves_fleet.h"

#include <algorithm>
#include <set>

namespace cyclamenhatch::bench {

namespace {

constexpr milliseconds tick{100};
constexpr double threshold_error_rate = 0.05;
constexpr std::uint64_t threshold_calls = 20;
constexpr seconds threshold_window{10};

double seconds_between(instant begin, instant end) {
    return begin == instant{} || end < begin ? 0
                                             : std::chrono::duration<double>(end - begin).count();
}

void record_times(run_result& result, const traffic& calls, instant veto) {
    result.fault_to_last_call_s = seconds_between(calls.fault_began, calls.last_met);
    result.veto_to_last_call_s = seconds_between(veto, calls.last_new_call);
}

run_result run_product(const scenario& setup) {
    const auto fleet = make_fleet(setup);
    run_fleet(*fleet);
    run_result result = fleet->calls.result;
    record_times(result, fleet->calls, fleet->first_veto_at);
    std::set<std::string> phases;
    const move& final_move = fleet->store.head->sections.begin()->second->content.moves.front();
    for (const auto& node : fleet->nodes) {
        for (const auto& status : moves::list_status(node, fleet->now)) {
            if (status.ending) {
                phases.insert(status.phase);
            }
        }
    }
    result.endings = std::max(fleet->store.endings, static_cast<std::uint32_t>(phases.size()));
    result.move_time_s = seconds_between(move_begin(), fleet->now);
    if (!final_move.ending) {
        return result;
    }
    result.reason = final_move.ending->reason;
    result.is_done = final_move.ending->outcome == move_outcome::done;
    result.is_taken_back = !result.is_done;
    result.is_in_time = result.is_done && final_move.ending->in_force_at <= move_deadline();
    return result;
}

std::uint32_t ramp_share(const scenario& setup, instant now) {
    if (setup.policy == move_policy::all_at_once) {
        return 1000;
    }
    const auto ramp = move_length - bake_length;
    const auto elapsed = std::min<microseconds>(now - move_begin(), ramp);
    return static_cast<std::uint32_t>(1000 * elapsed.count() / microseconds(ramp).count());
}

bool exceeds_threshold(const traffic& calls) {
    return calls.window_new >= threshold_calls &&
           static_cast<double>(calls.window_errors) >
               threshold_error_rate * static_cast<double>(calls.window_new);
}

/// Runs a baseline policy: all entries use one share, which depends on time only and is taken back
/// only by the error threshold. The fleet and its faults are the same, but the product makes no
/// move decisions.
run_result run_baseline(const scenario& setup) {
    const auto fleet = make_fleet(setup);
    traffic& calls = fleet->calls;
    // Only the events of the fault are kept; the ticks of the nodes are removed.
    bool is_taken_back = false;
    instant veto{};
    instant window_end = move_begin() + threshold_window;
    fleet->events = {};
    plan_fault(*fleet);
    for (instant now = move_begin(); now < move_deadline(); now += tick) {
        while (!fleet->events.empty() && fleet->events.top().time <= now) {
            const auto action = fleet->events.top().action;
            fleet->now = fleet->events.top().time;
            fleet->events.pop();
            action();
        }
        const std::uint32_t permille = is_taken_back ? 0 : ramp_share(setup, now);
        if (permille == 1000 && calls.full_since == instant{}) {
            calls.full_since = now;
        }
        for (std::size_t host = 0; host < sim_nodes; ++host) {
            if (calls.hosts[host].is_up) {
                static_cast<void>(take_ended_calls(calls, host, now));
                simulate_calls(calls, host, permille, tick, now, fleet->random);
            }
        }
        if (setup.policy == move_policy::error_threshold && !is_taken_back &&
            exceeds_threshold(calls)) {
            is_taken_back = true;
            veto = now;
        }
        if (now >= window_end) {
            calls.window_new = 0;
            calls.window_errors = 0;
            window_end = now + threshold_window;
        }
    }
    run_result result = calls.result;
    record_times(result, calls, veto);
    result.is_taken_back = is_taken_back;
    result.is_done = !is_taken_back;
    result.is_in_time = result.is_done;
    result.endings = 1;
    result.move_time_s = std::chrono::duration<double>(move_length).count();
    return result;
}

} // namespace

run_result run_scenario(const scenario& setup) {
    return setup.policy == move_policy::product ? run_product(setup) : run_baseline(setup);
}

} // namespace cyclamenhatch::bench
