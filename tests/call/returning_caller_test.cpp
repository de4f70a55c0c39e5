#include "call/returning_caller.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::call {
namespace {

constexpr instant start{microseconds(1'000'000'000)};
const route_id browse("browse");

/// Guards against treating the calls of a retry storm as first attempts: callers wait for about
/// 1.2 s and retry with the time that is left of it.
TEST(returning_callers, are_distinguished_from_first_attempts_by_their_time) {
    stated_times_table times_by_route;
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(
            estimate_time_spent(times_by_route, browse, milliseconds{1020 + 9 * i}, true, start),
            microseconds{0});
    }
    const auto spent = estimate_time_spent(times_by_route, browse, milliseconds{700}, true, start);
    EXPECT_GT(spent, milliseconds{300});
    EXPECT_LT(spent, milliseconds{500});
}

TEST(returning_callers, are_not_on_a_connection_in_use) {
    stated_times_table times_by_route;
    (void)estimate_time_spent(times_by_route, browse, milliseconds{1200}, true, start);
    EXPECT_EQ(estimate_time_spent(times_by_route, browse, milliseconds{300}, false, start),
              microseconds{0});
}

TEST(returning_callers, are_compared_with_calls_of_late_on_their_own_route) {
    stated_times_table times_by_route;
    (void)estimate_time_spent(times_by_route, browse, milliseconds{1200}, true, start);
    EXPECT_EQ(estimate_time_spent(times_by_route, route_id("hold"), milliseconds{300}, true, start),
              microseconds{0});
    // The callers' timeout has become shorter: after two windows the longer times are forgotten.
    const auto later = start + seconds{12};
    EXPECT_GT(estimate_time_spent(times_by_route, browse, milliseconds{300}, true, later),
              microseconds{0});
    EXPECT_EQ(
        estimate_time_spent(times_by_route, browse, milliseconds{300}, true, later + seconds{12}),
        microseconds{0});
    forget_idle(times_by_route, later + seconds{60});
    EXPECT_TRUE(times_by_route.empty());
}

} // namespace
} // namespace cyclamenhatch::call
