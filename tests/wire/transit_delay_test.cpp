#include "wire/transit_delay.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace cyclamenhatch::wire {
namespace {

constexpr microseconds offset{7'000'000'000};

struct arrival {
    std::int64_t sent_ms;
    std::int64_t received_ms;
    std::int64_t expected_delay_ms;
};

struct transit_row {
    const char* name;
    std::vector<arrival> arrivals;
};

class transit : public testing::TestWithParam<transit_row> {};

TEST_P(transit, is_measured_against_the_fastest_recent_message) {
    transit_delay measured;
    for (const auto& [sent_ms, received_ms, expected_delay_ms] : GetParam().arrivals) {
        EXPECT_EQ(note_arrival(measured, milliseconds(sent_ms),
                               offset + microseconds(milliseconds(received_ms))),
                  milliseconds(expected_delay_ms));
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, transit,
    testing::Values(
        transit_row{"prompt", {{100, 101, 0}, {200, 201, 0}, {300, 301, 0}}},
        transit_row{"late_receiver", {{100, 101, 0}, {200, 1300, 1099}, {1299, 1300, 0}}},
        transit_row{"slow_first_message", {{100, 150, 0}, {200, 201, 0}, {300, 350, 49}}},
        transit_row{"clock_that_drifts",
                    {{100, 101, 0}, {10'200, 10'211, 10}, {20'300, 20'321, 10}}},
        transit_row{"after_silence", {{100, 101, 0}, {60'000, 61'001, 1000}}},
        transit_row{"unknown_clock", {{0, 101, 0}, {0, 2000, 0}}}),
    [](const auto& row) { return std::string(row.param.name); });

/// Guards against delays that depend on the offset of the two hosts' clocks.
TEST(transit, does_not_depend_on_the_offset_of_the_clocks) {
    const auto holds = rc::check([] {
        const auto other_offset = microseconds(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000));
        const auto waits =
            *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange(1, 2'000'000));
        transit_delay first;
        transit_delay second;
        microseconds sent{1};
        for (const auto wait : waits) {
            sent += milliseconds{40};
            const auto received = sent + microseconds(wait);
            RC_ASSERT(note_arrival(first, sent, received) ==
                      note_arrival(second, sent, received + other_offset));
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace cyclamenhatch::wire
