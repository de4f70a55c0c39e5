#include "bench/moves_scenario.h"

namespace cyclamenhatch::bench {

std::vector<version_model> list_versions() {
    using onset = fault_onset;
    return {
        {.name = "good"},
        {.name = "errors_100", .is_bad = true, .added_errors = 1.0},
        {.name = "errors_10", .is_bad = true, .added_errors = 0.10},
        {.name = "errors_2", .is_bad = true, .added_errors = 0.02},
        {.name = "errors_10_later", .is_bad = true, .added_errors = 0.10, .onset = onset::later},
        {.name = "errors_10_bake", .is_bad = true, .added_errors = 0.10, .onset = onset::in_bake},
        {.name = "errors_2_bake", .is_bad = true, .added_errors = 0.02, .onset = onset::in_bake},
        {.name = "errors_10_load",
         .is_bad = true,
         .added_errors = 0.10,
         .onset = onset::under_load},
        {.name = "errors_20_route", .is_bad = true, .added_errors = 0.20, .on_one_route = true},
        {.name = "slow_p99_x1.5", .is_bad = true, .tail_factor = 1.5},
        {.name = "slow_x1.5", .is_bad = true, .slow_factor = 1.5},
        {.name = "slow_x3_bake", .is_bad = true, .slow_factor = 3, .onset = onset::in_bake},
        {.name = "slow_x3_load", .is_bad = true, .slow_factor = 3, .onset = onset::under_load},
    };
}

const char* name_of(environment_fault fault) {
    switch (fault) {
    case environment_fault::none:
        return "none";
    case environment_fault::store_down:
        return "store_down";
    case environment_fault::controller_killed:
        return "controller_killed";
    case environment_fault::herd:
        return "herd";
    case environment_fault::region_cut:
        return "region_cut";
    case environment_fault::misleading_health:
        return "misleading_health";
    case environment_fault::shared_errors:
        return "shared_errors";
    case environment_fault::shared_slowness:
        return "shared_slowness";
    case environment_fault::lying_node:
        return "lying_node";
    }
    return "";
}

const char* name_of(move_policy policy) {
    switch (policy) {
    case move_policy::product:
        return "cyclamenhatch";
    case move_policy::timed_ramp:
        return "timed_ramp";
    case move_policy::all_at_once:
        return "all_at_once";
    case move_policy::error_threshold:
        return "error_threshold";
    }
    return "";
}

} // namespace cyclamenhatch::bench
