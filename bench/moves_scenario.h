#pragma once

#include "model/time.h"

#include <cstdint>
#include <string>
#include <vector>

/// What the moves experiment varies: the new version, a fault around it, the traffic and the
/// policy.
namespace cyclamenhatch::bench {

/// When a bad version's fault shows.
enum class fault_onset { at_once, later, in_bake, under_load };

/// How the new version behaves beside the old one.
struct version_model {
    std::string name;
    bool is_bad = false;
    /// Errors beyond those of the old version.
    double added_errors = 0;
    /// Factor on all latencies.
    double slow_factor = 1;
    /// Factor on the 99th percentile while the median stays.
    double tail_factor = 1;
    fault_onset onset = fault_onset::at_once;
    /// Only calls on the smallest route are hit.
    bool on_one_route = false;
};

enum class surrounding_fault {
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
    surrounding_fault fault = surrounding_fault::none;
    move_policy policy = move_policy::product;
    /// Calls per second of the whole service.
    double calls_per_s = 200;
    std::uint64_t seed = 1;
    /// Prints what the nodes log.
    bool is_traced = false;
};

struct run_result {
    bool is_done = false;
    bool is_taken_back = false;
    /// All traffic was permitted to the new version by the deadline.
    bool is_in_time = false;
    /// Distinct endings that were recorded or shown by any node.
    std::uint32_t endings = 0;
    std::uint64_t service_calls = 0;
    /// Calls sent to the new version while its fault was showing.
    std::uint64_t calls_met = 0;
    /// Of these, calls that failed or were slow because of it.
    std::uint64_t calls_hurt = 0;
    double fault_to_last_call_s = 0;
    double veto_to_last_call_s = 0;
    double move_time_s = 0;
    std::string reason;
};

/// Length of each experiment's move, and its bake.
inline constexpr seconds move_length{180};
inline constexpr seconds bake_length{30};

[[nodiscard]] std::vector<version_model> list_versions();
[[nodiscard]] const char* name_of(surrounding_fault fault);
[[nodiscard]] const char* name_of(move_policy policy);

/// Runs one scenario in virtual time. Deterministic by seed. Thread safe.
[[nodiscard]] run_result run_scenario(const scenario& wanted);

} // namespace cyclamenhatch::bench
