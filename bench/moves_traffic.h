#pragma once

#include "bench/moves_scenario.h"
#include "call/call_sample.h"
#include "model/random.h"
#include "model/time.h"

#include <array>
#include <cstddef>
#include <queue>
#include <vector>

/// Simulated callers, upstreams and the endpoints they reach, for the moves experiment.
namespace cyclamenhatch::bench {

inline constexpr std::size_t sim_nodes = 12;
inline constexpr std::size_t sim_data_centres = 3;

/// One host: an entry for callers with one upstream beside it.
struct sim_host {
    bool is_up = true;
    /// The upstream beside it is of the new version.
    bool is_new = false;
    std::size_t data_centre = 0;
    /// The upstream is slow until then.
    instant cold_until;
};

/// What one entry holds of one endpoint.
struct endpoint_view {
    bool is_ready = true;
    std::uint32_t failures = 0;
    instant ejected_until;
};

struct ended_call {
    instant end;
    call::call_sample sample;

    friend bool operator>(const ended_call& left, const ended_call& right) {
        return left.end > right.end;
    }
};

struct traffic {
    scenario wanted;
    instant begun;
    std::array<sim_host, sim_nodes> hosts;
    std::array<std::array<endpoint_view, sim_nodes>, sim_nodes> views;
    std::array<std::priority_queue<ended_call, std::vector<ended_call>, std::greater<>>, sim_nodes>
        pending;
    /// The second region cannot reach the first.
    bool is_cut = false;
    /// Both versions fail or are slow.
    bool is_shared_fault = false;
    /// Share of the service's calls on the new version in the last second, and its counts.
    double new_load = 0;
    std::uint64_t second_calls = 0;
    std::uint64_t second_new = 0;
    instant second_end;
    /// When the new version's full share came into force; unset while it has not.
    instant full_since;
    instant fault_began;
    instant last_met;
    instant last_new_call;
    run_result counted;
    /// Calls of the last ten seconds on the new version, for the threshold baseline.
    std::uint64_t window_new = 0;
    std::uint64_t window_errors = 0;
};

[[nodiscard]] traffic make_traffic(const scenario& wanted, instant begun);

/// Whether the bad version's fault shows now.
[[nodiscard]] bool is_fault_showing(const traffic& self, instant now);

/// Lets one entry take the calls of a tick at a share.
void take_calls(traffic& self, std::size_t entry, std::uint32_t permille, microseconds tick,
                instant now, random_source& random);

/// The calls of an entry that have ended by now.
[[nodiscard]] std::vector<call::call_sample> ended_calls(traffic& self, std::size_t entry,
                                                         instant now);

[[nodiscard]] bool is_reachable(const traffic& self, std::size_t from, std::size_t to);

} // namespace cyclamenhatch::bench
