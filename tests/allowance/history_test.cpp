#include "fleet_model.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace cyclamenhatch::allowance::testing {
namespace {

/// One random event of a history.
void disturb(fleet_model& fleet, double hot) {
    auto& random = fleet.random();
    const auto node =
        random() % 2 == 0 ? fleet.keeper() : static_cast<std::size_t>(random() % fleet.size());
    switch (random() % 10) {
    case 0:
        fleet.cut(1 + random() % (fleet.size() - 1));
        fleet.run(milliseconds{500 + random() % 9000});
        fleet.cut(0);
        break;
    case 1:
    case 2:
        fleet.kill(node);
        fleet.run(milliseconds{200 + random() % 6000});
        fleet.restart(node);
        break;
    case 3:
        fleet.pause(node, milliseconds{200 + random() % 5000});
        break;
    case 4:
        fleet.restart_all();
        break;
    case 5:
        fleet.set_limit(10 + static_cast<double>(random() % 60),
                        static_cast<double>(random() % 60));
        break;
    case 6:
        fleet.focus(node);
        break;
    case 7:
        fleet.focus(std::nullopt);
        break;
    default:
        // A quiet time fills the bucket.
        fleet.set_demand(0.1);
        fleet.run(milliseconds{1000 + random() % 4000});
        fleet.set_demand(hot);
        break;
    }
}

double worst_of_history(const shape& wanted, std::uint64_t seed) {
    fleet_model fleet(wanted, seed);
    fleet.run(seconds{4});
    for (int event = 0; event < 6; ++event) {
        disturb(fleet, wanted.demand);
        fleet.run(milliseconds{500 + fleet.random()() % 5000});
    }
    return fleet.worst_excess();
}

/// Guards against more calls than the rule allows in any window, whatever is cut, killed, paused,
/// restarted or lowered.
RC_GTEST_PROP(allowance_history, keeps_the_rule_in_every_window, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const shape wanted{.nodes = *rc::gen::inRange<std::size_t>(2, 9),
                       .calls_per_s = *rc::gen::element(10.0, 40.0, 200.0),
                       .burst = *rc::gen::element(0.0, 10.0, 40.0, 120.0),
                       .demand = *rc::gen::element(1.0, 2.0, 7.0, 40.0)};
    RC_ASSERT(worst_of_history(wanted, seed) <= 0.0);
}

std::size_t count_broken(const shape& wanted) {
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        broken += worst_of_history(wanted, seed) > 0 ? 1 : 0;
    }
    return broken;
}

/// Shows that the property notices when a bound is missing: each time histories of the same shape
/// keep the rule with it and break it without it.
TEST(allowance_history, breaks_the_rule_when_a_bound_is_missing) {
    const std::vector<shape> shapes{
        {.calls_per_s = 10, .burst = 120, .demand = 100, .without = missing::takeover},
        {.burst = 120, .demand = 10, .without = missing::share},
        {.nodes = 20,
         .calls_per_s = 10,
         .burst = 10,
         .demand = 20,
         .without = missing::fixed_part}};
    for (auto wanted : shapes) {
        const auto name = "broken_" + std::to_string(static_cast<int>(wanted.without));
        const auto broken = count_broken(wanted);
        RecordProperty(name, static_cast<int>(broken));
        EXPECT_GT(broken, 0U) << name;
        wanted.without = missing::none;
        EXPECT_EQ(count_broken(wanted), 0U) << name;
    }
}

/// Guards against refusals below the limit while nothing is wrong.
RC_GTEST_PROP(allowance_history, refuses_nothing_below_the_limit_in_calm, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    fleet_model fleet({.nodes = *rc::gen::inRange<std::size_t>(1, 20),
                       .calls_per_s = static_cast<double>(*rc::gen::inRange(10, 400)),
                       .burst = 40,
                       .demand = 0.6},
                      seed);
    // Buckets begin empty.
    fleet.run(seconds{10});
    const auto from = fleet.now();
    fleet.run(seconds{10});
    RC_ASSERT(fleet.count(false, from) == 0U);
}

/// Guards against an allowance that callers beyond it cannot use up.
TEST(allowance_history, admits_nearly_the_whole_allowance_under_overload) {
    fleet_model fleet({.nodes = 12, .calls_per_s = 60, .demand = 6}, 3);
    fleet.run(seconds{10});
    const auto from = fleet.now();
    fleet.run(seconds{10});
    EXPECT_GE(fleet.count(true, from), 570U);
    EXPECT_GE(fleet.count(false, from), 1000U);
}

/// Guards against a keeper's death that refuses callers for longer than its successor needs.
TEST(allowance_history, admits_again_after_the_death_of_the_keeper) {
    fleet_model fleet({.demand = 0.6}, 5);
    fleet.run(seconds{5});
    fleet.kill(fleet.keeper());
    fleet.run(seconds{5});
    const auto from = fleet.now();
    fleet.run(seconds{5});
    EXPECT_EQ(fleet.count(false, from), 0U);
}

} // namespace
} // namespace cyclamenhatch::allowance::testing
