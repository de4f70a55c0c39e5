#pragma once

#include "bench/moves_scenario.h"
#include "call/call_sample.h"
#include "model/random.h"
#include "model/time.h"

#include <array>
#include <cstddef>
#include <queue>
#include <vector>

/// Simulates callers, entries and upstreams for the moves experiment.
namespace cyclamenhatch::bench {

inline constexpr std::size_t sim_nodes = 12;
inline constexpr std::size_t sim_data_centres = 3;

/// A host, which runs an entry for callers and one upstream.
struct sim_host {
    bool is_up = true;
    /// The upstream runs the new version.
    bool is_new = false;
    std::size_t data_centre = 0;
    /// The upstream is slow until this time.
    instant cold_until;
};

/// State of one endpoint as seen by one entry.
struct endpoint_view {
    bool is_ready = true;
    std::uint32_t failures = 0;
    instant ejected_until;
};

/// A call that ends at a known time.
struct ended_call {
    instant end;
    call::call_sample sample;

    friend bool operator>(const ended_call& left, const ended_call& right) {
        return left.end > right.end;
    }
};

struct traffic {
    scenario setup;
    instant begin_time;
    std::array<sim_host, sim_nodes> hosts;
    /// By entry, then by endpoint.
    std::array<std::array<endpoint_view, sim_nodes>, sim_nodes> views;
    std::array<std::priority_queue<ended_call, std::vector<ended_call>, std::greater<>>, sim_nodes>
        pending;
    /// The second region cannot reach the first.
    bool is_cut = false;
    /// Both versions fail or are slow.
    bool is_shared_fault = false;
    /// Share (0 to 1) of the calls sent to the new version in the last full second, and the counts
    /// of the current second.
    double new_load = 0;
    std::uint64_t second_calls = 0;
    std::uint64_t second_new = 0;
    instant second_end;
    /// When the new version first had all traffic; unset before.
    instant full_since;
    /// First and last call that was sent to the new version while its fault was showing.
    instant fault_began;
    instant last_met;
    instant last_new_call;
    run_result result;
    /// Calls to the new version in the current window of ten seconds, for the error_threshold
    /// policy.
    std::uint64_t window_new = 0;
    std::uint64_t window_errors = 0;
};

[[nodiscard]] traffic make_traffic(const scenario& setup, instant begin_time);

/// Whether the fault of a bad version shows now.
[[nodiscard]] bool is_fault_showing(const traffic& self, instant now);

/// Simulates the calls of one tick at one entry; `permille` is the share of the new version.
void simulate_calls(traffic& self, std::size_t entry, std::uint32_t permille, microseconds tick,
                    instant now, random_source& random);

/// Removes and returns the calls of an entry that have ended by now.
[[nodiscard]] std::vector<call::call_sample> take_ended_calls(traffic& self, std::size_t entry,
                                                              instant now);

/// Whether the host `target` is up and not cut off from `source`.
[[nodiscard]] bool is_reachable(const traffic& self, std::size_t source, std::size_t target);

} // namespace cyclamenhatch::bench
