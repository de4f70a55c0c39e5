#include "move/plan.h"

#include "move/fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::moves {

namespace {

struct plan_case {
    const char* name;
    int deadline_s;
    int bake_s;
    std::uint32_t first_permille;
    bool is_possible;
};

class plan_cases : public testing::TestWithParam<plan_case> {};

TEST_P(plan_cases, rejects_a_deadline_that_is_too_early) {
    move planned = make_move();
    planned.deadline = start_time + seconds(GetParam().deadline_s);
    planned.bake = seconds(GetParam().bake_s);
    planned.first_share_permille = GetParam().first_permille;
    const auto planned_ramp = make_plan(planned, start_time);
    ASSERT_EQ(std::holds_alternative<plan>(planned_ramp), GetParam().is_possible);
    if (!GetParam().is_possible) {
        EXPECT_EQ(std::get<findings>(planned_ramp).at(0).path, "deadline");
    }
}

INSTANTIATE_TEST_SUITE_P(rows, plan_cases,
                         testing::Values(plan_case{"roomy", 600, 30, 10, true},
                                         plan_case{"past", -1, 0, 1000, false},
                                         plan_case{"no_ramp", 34, 30, 10, false},
                                         plan_case{"tight", 46, 30, 10, true},
                                         plan_case{"all_at_once", 34, 30, 1000, true}),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(plan, missing_endpoints_of_either_version_are_found) {
    EXPECT_TRUE(check_endpoints({.on_new = 1, .on_old = 1}, make_move()).empty());
    EXPECT_EQ(check_endpoints({.on_new = 0, .on_old = 1}, make_move()).at(0).path, "to");
    EXPECT_EQ(check_endpoints({.on_new = 1, .on_old = 0}, make_move()).at(0).path, "from");
}

RC_GTEST_PROP(plan_properties, stages_rise_and_keep_the_deadline, ()) {
    move planned = make_move();
    planned.first_share_permille = *rc::gen::inRange(1U, 1001U);
    planned.deadline = start_time + seconds(*rc::gen::inRange(60, 90000));
    const auto planned_ramp = make_plan(planned, start_time);
    RC_ASSERT(std::holds_alternative<plan>(planned_ramp));
    const auto& stages = std::get<plan>(planned_ramp).stages;
    RC_ASSERT(stages.front().permille == planned.first_share_permille);
    RC_ASSERT(stages.back().permille == full_share_permille);
    RC_ASSERT(stages.back().latest_start + planned.bake < planned.deadline);
    for (std::size_t i = 1; i < stages.size(); ++i) {
        RC_ASSERT(stages[i - 1].permille < stages[i].permille);
        RC_ASSERT(stages[i - 1].latest_start <= stages[i].latest_start);
    }
}

} // namespace

} // namespace cyclamenhatch::moves
