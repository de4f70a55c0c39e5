#pragma once

#include "model/time.h"

#include <cstdint>
#include <string>
#include <vector>

/// Parameters of the moves experiment: the new version, a fault in its environment, the traffic and
/// the policy.
namespace cyclamenhatch::bench {

/// When the fault of a bad version shows.
enum class fault_onset { at_once, later, in_bake, under_load };

/// Behaviour of the new version relative to the old one.
struct version_model {
    std::string name;
    bool is_bad = false;
    /// Error rate (0 to 1) added to that of the old version.
    double added_errors = 0;
    /// Factor on all latencies.
    double slow_factor = 1;
    /// Factor on the 99th percentile of latency; the median is unchanged.
    double tail_factor = 1;
    fault_onset onset = fault_onset::at_once;
    /// Only calls on the route with the least traffic are affected.
    bool on_one_route = false;
};

enum class environment_fault {
    none,
    store_down,
    controller_killed,
    herd,
    region_cut,
    misleading_health,
    shared_errors,
    shared_slowness,
    lying_node,
};

enum class move_policy { product, timed_ramp, all_at_once, error_threshold };

struct scenario {
    version_model version;
    environment_fault fault = environment_fault::none;
    move_policy policy = move_policy::product;
    /// Calls per second of the whole service.
    double calls_per_s = 200;
    std::uint64_t seed = 1;
    /// Prints the log events of the nodes.
    bool is_traced = false;
};

struct run_result {
    bool is_done = false;
    bool is_taken_back = false;
    /// The new version had all traffic by the deadline.
    bool is_in_time = false;
    /// Number of distinct endings that were recorded in the store or reported by nodes.
    std::uint32_t endings = 0;
    std::uint64_t service_calls = 0;
    /// Calls sent to the new version while its fault was showing.
    std::uint64_t calls_met = 0;
    /// Calls of `calls_met` that failed or were slow because of the fault.
    std::uint64_t calls_hurt = 0;
    double fault_to_last_call_s = 0;
    double veto_to_last_call_s = 0;
    double move_time_s = 0;
    std::string reason;
};

/// Time from the start of each move to its deadline, and the length of its bake.
inline constexpr seconds move_length{180};
inline constexpr seconds bake_length{30};

[[nodiscard]] std::vector<version_model> list_versions();
[[nodiscard]] const char* name_of(environment_fault fault);
[[nodiscard]] const char* name_of(move_policy policy);

/// Runs one scenario in virtual time. Deterministic by seed. Thread safe.
[[nodiscard]] run_result run_scenario(const scenario& setup);

} // namespace cyclamenhatch::bench
