#include "bench/moves_fleet.h"

#include <algorithm>
#include <set>

namespace cyclamenhatch::bench {

namespace {

constexpr milliseconds tick{100};
constexpr double threshold_error_rate = 0.05;
constexpr std::uint64_t threshold_calls = 20;
constexpr seconds threshold_window{10};

double seconds_between(instant from, instant to) {
    return from == instant{} || to < from ? 0 : std::chrono::duration<double>(to - from).count();
}

void note_times(run_result& result, const traffic& calls, instant veto) {
    result.fault_to_last_call_s = seconds_between(calls.fault_began, calls.last_met);
    result.veto_to_last_call_s = seconds_between(veto, calls.last_new_call);
}

run_result run_product(const scenario& wanted) {
    const auto fleet = make_fleet(wanted);
    run_fleet(*fleet);
    run_result result = fleet->calls.counted;
    note_times(result, fleet->calls, fleet->first_veto);
    std::set<std::string> shown;
    const move& ended = fleet->store.head->sections.begin()->second->content.moves.front();
    for (const auto& node : fleet->nodes) {
        for (const auto& each : moves::list_status(node, fleet->now)) {
            if (each.ending) {
                shown.insert(each.phase);
            }
        }
    }
    result.endings = std::max(fleet->store.endings, static_cast<std::uint32_t>(shown.size()));
    result.move_time_s = seconds_between(move_begin(), fleet->now);
    if (!ended.ending) {
        return result;
    }
    result.reason = ended.ending->reason;
    result.is_done = ended.ending->outcome == move_outcome::done;
    result.is_taken_back = !result.is_done;
    result.is_in_time = result.is_done && ended.ending->in_force_at <= move_deadline();
    return result;
}

std::uint32_t ramp_share(const scenario& wanted, instant now) {
    if (wanted.policy == move_policy::all_at_once) {
        return 1000;
    }
    const auto ramp = move_length - bake_length;
    const auto passed = std::min<microseconds>(now - move_begin(), ramp);
    return static_cast<std::uint32_t>(1000 * passed.count() / microseconds(ramp).count());
}

bool exceeds_threshold(const traffic& calls) {
    return calls.window_new >= threshold_calls &&
           static_cast<double>(calls.window_errors) >
               threshold_error_rate * static_cast<double>(calls.window_new);
}

/// A baseline: one share for all entries, set by the clock, taken back only by the threshold. It
/// meets the same faults, through the same fleet, but runs no decisions of the product.
run_result run_baseline(const scenario& wanted) {
    const auto fleet = make_fleet(wanted);
    traffic& calls = fleet->calls;
    // The fleet's events bring the faults; its nodes' own ticks are left out.
    bool is_taken_back = false;
    instant veto{};
    instant window_end = move_begin() + threshold_window;
    fleet->events = {};
    plan_fault(*fleet);
    for (instant now = move_begin(); now < move_deadline(); now += tick) {
        while (!fleet->events.empty() && fleet->events.top().at <= now) {
            const auto act = fleet->events.top().act;
            fleet->now = fleet->events.top().at;
            fleet->events.pop();
            act();
        }
        const std::uint32_t permille = is_taken_back ? 0 : ramp_share(wanted, now);
        if (permille == 1000 && calls.full_since == instant{}) {
            calls.full_since = now;
        }
        for (std::size_t host = 0; host < sim_nodes; ++host) {
            if (calls.hosts[host].is_up) {
                static_cast<void>(ended_calls(calls, host, now));
                take_calls(calls, host, permille, tick, now, fleet->random);
            }
        }
        if (wanted.policy == move_policy::error_threshold && !is_taken_back &&
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
    run_result result = calls.counted;
    note_times(result, calls, veto);
    result.is_taken_back = is_taken_back;
    result.is_done = !is_taken_back;
    result.is_in_time = result.is_done;
    result.endings = 1;
    result.move_time_s = std::chrono::duration<double>(move_length).count();
    return result;
}

} // namespace

run_result run_scenario(const scenario& wanted) {
    return wanted.policy == move_policy::product ? run_product(wanted) : run_baseline(wanted);
}

} // namespace cyclamenhatch::bench
