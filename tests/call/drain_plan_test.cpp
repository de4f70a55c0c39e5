#include "call/drain_plan.h"

#include <gtest/gtest.h>

#include <string>

namespace cyclamenhatch::call {
namespace {

struct plan_row {
    const char* name;
    std::string grace;
    drain_plan expected;
};

class drain : public testing::TestWithParam<plan_row> {};

/// Guards against a node that cuts the calls of its callers long before its grace time ends.
TEST_P(drain, uses_the_grace_time) {
    msg::call_settings_msg settings;
    settings.grace = GetParam().grace;
    settings.drain_timeout_ms = 20'000;
    settings.drain_linger_ms = 2600;
    settings.drain_gate_ms = 1600;
    const auto plan = plan_drain(settings);
    const auto& expected = GetParam().expected;
    EXPECT_EQ(plan.gate_closes, expected.gate_closes);
    EXPECT_EQ(plan.callers_end, expected.callers_end);
    EXPECT_EQ(plan.runs_end, expected.runs_end);
    EXPECT_EQ(plan.final_answers, expected.final_answers);
    EXPECT_EQ(plan.node_stops, expected.node_stops);
}

drain_plan make_plan(int gate_closes, int callers_end, int runs_end, int final_answers,
                     int node_stops) {
    return {.gate_closes = milliseconds(gate_closes),
            .callers_end = milliseconds(callers_end),
            .runs_end = milliseconds(runs_end),
            .final_answers = milliseconds(final_answers),
            .node_stops = milliseconds(node_stops)};
}

INSTANTIATE_TEST_SUITE_P(
    table, drain,
    testing::Values(plan_row{"of_6_s", "6 s", make_plan(1600, 2600, 5000, 5200, 5500)},
                    plan_row{"of_10_s", "10 s", make_plan(1600, 2600, 9000, 9200, 9500)},
                    plan_row{"of_3_s", "3 s", make_plan(800, 1300, 2500, 2600, 2750)},
                    plan_row{"unknown", "", make_plan(1600, 2600, 19'500, 19'700, 20'000)}),
    [](const auto& row) { return std::string(row.param.name); });

/// Guards against answers in place of sound upstreams before the last sixth of the grace time, and
/// against a process that is killed before it has ended.
TEST(drain, of_any_grace_time_answers_only_in_its_last_sixth) {
    for (std::int64_t ms = 500; ms <= 60'000; ms += 50) {
        msg::call_settings_msg settings;
        settings.grace =
            std::to_string(ms / 1000) + "." + std::to_string(1000 + ms % 1000).substr(1) + " s";
        settings.drain_linger_ms = 2600;
        settings.drain_gate_ms = 1600;
        const auto plan = plan_drain(settings);
        EXPECT_GE(plan.final_answers * 6, milliseconds(ms) * 5) << settings.grace;
        EXPECT_LT(plan.node_stops, milliseconds(ms)) << settings.grace;
        EXPECT_LE(plan.gate_closes, plan.callers_end);
        EXPECT_LE(plan.callers_end, plan.runs_end);
        EXPECT_LT(plan.runs_end, plan.final_answers);
        EXPECT_LT(plan.final_answers, plan.node_stops);
    }
}

} // namespace
} // namespace cyclamenhatch::call
