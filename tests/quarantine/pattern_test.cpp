#include "quarantine/fixture.h"

#include <gtest/gtest.h>

/// The patterns of requests that crash upstreams, and of those that only stood beside one.
namespace cyclamenhatch::quarantine {
namespace {

const request_digest deadly = make_digest(1);
const request_digest innocent = make_digest(2);
constexpr std::size_t fleet_size = 16;

/// Three upstreams crash under one request, 150 ms apart, at different nodes.
void crash_three(small_fleet& fleet, const request_digest& digest) {
    for (std::size_t node = 0; node < 3; ++node) {
        fleet.crash(node, {digest, make_digest(100 + node)});
        fleet.run(milliseconds{150});
    }
}

/// Guards against a request that goes on to the fourth upstream and all further ones.
TEST(pattern, one_deadly_request_is_held_everywhere_after_the_third_crash) {
    small_fleet fleet(fleet_size);
    fleet.run(seconds{2});
    fleet.crash(0, {deadly});
    fleet.crash(1, {deadly});
    fleet.run(seconds{1});
    EXPECT_EQ(fleet.count_holding(deadly), 0U);
    EXPECT_EQ(fleet.crashes(9, deadly), 2U);
    fleet.crash(2, {deadly});
    EXPECT_TRUE(fleet.is_held(2, deadly));
    fleet.run(milliseconds{500});
    EXPECT_EQ(fleet.count_holding(deadly), fleet_size);
    EXPECT_EQ(fleet.count_events("request_suspected"), 3U);
    EXPECT_EQ(fleet.count_events("request_held"), fleet_size);
}

/// Guards against a count by node or by service, and against messages too small for all.
TEST(pattern, many_deadly_requests_at_once_are_all_held) {
    small_fleet fleet(fleet_size);
    std::vector<request_digest> all;
    for (std::uint64_t number = 0; number < 40; ++number) {
        all.push_back(make_digest(1000 + number));
    }
    for (std::size_t round = 0; round < 3; ++round) {
        for (std::size_t i = 0; i < all.size(); ++i) {
            fleet.crash((i + round) % fleet_size, {all[i]});
        }
        fleet.run(milliseconds{200});
    }
    fleet.run(seconds{2});
    for (const auto& digest : all) {
        EXPECT_EQ(fleet.count_holding(digest), fleet_size);
    }
}

/// Guards against a popular request that is refused because it was in flight at every crash.
TEST(pattern, a_popular_innocent_that_also_runs_well_is_never_held) {
    small_fleet fleet(fleet_size);
    for (std::size_t crash = 0; crash < 8; ++crash) {
        fleet.crash(crash % fleet_size, {deadly, innocent});
        fleet.run(milliseconds{100});
        EXPECT_EQ(fleet.count_holding(innocent), 0U);
        fleet.run_well((crash + 5) % fleet_size, innocent);
        fleet.run(milliseconds{200});
    }
    EXPECT_EQ(fleet.count_holding(deadly), fleet_size);
    EXPECT_EQ(fleet.count_holding(innocent), 0U);
    fleet.run(seconds{2});
    for (std::size_t node = 0; node < fleet_size; ++node) {
        EXPECT_EQ(fleet.crashes(node, innocent), 0U);
    }
}

/// Guards against an innocent that stays held after crashes in quick succession, though copies of
/// it that had begun before run well.
TEST(pattern, an_innocent_at_three_crashes_in_a_moment_is_free_once_a_copy_in_flight_ends) {
    small_fleet fleet(fleet_size);
    for (std::size_t node = 0; node < 3; ++node) {
        fleet.crash(node, {deadly, innocent});
    }
    fleet.run(milliseconds{300});
    EXPECT_EQ(fleet.count_holding(innocent), fleet_size);
    fleet.run_well(8, innocent);
    fleet.run(milliseconds{300});
    EXPECT_EQ(fleet.count_holding(innocent), 0U);
    EXPECT_EQ(fleet.count_holding(deadly), fleet_size);
}

/// Guards against an innocent whose later crash counts on top of two that a good run has cleared.
TEST(pattern, an_innocent_at_two_crashes_that_runs_well_elsewhere_starts_anew) {
    small_fleet fleet(fleet_size);
    fleet.crash(0, {deadly, innocent});
    fleet.crash(1, {deadly, innocent});
    fleet.run(seconds{1});
    fleet.run_well(7, innocent);
    fleet.run(seconds{1});
    fleet.crash(2, {deadly, innocent});
    fleet.run(seconds{1});
    EXPECT_EQ(fleet.count_holding(innocent), 0U);
    EXPECT_EQ(fleet.crashes(12, innocent), 1U);
    EXPECT_EQ(fleet.count_holding(deadly), fleet_size);
    EXPECT_EQ(fleet.count_events("request_cleared"), 1U);
}

/// Guards against a good run that is undone by a node that has not heard of it yet.
TEST(pattern, old_news_does_not_bring_back_a_cleared_crash) {
    small_fleet fleet(fleet_size);
    crash_three(fleet, innocent);
    fleet.run(seconds{1});
    const auto old_state = fleet.nodes[4];
    fleet.run_well(7, innocent);
    fleet.run(seconds{1});
    EXPECT_EQ(fleet.count_holding(innocent), 0U);
    fleet.nodes[4] = old_state;
    fleet.run(seconds{5});
    EXPECT_EQ(fleet.count_holding(innocent), 0U);
}

TEST(pattern, a_cured_request_is_let_through_and_forgotten) {
    small_fleet fleet(fleet_size);
    crash_three(fleet, deadly);
    fleet.run(seconds{58});
    EXPECT_EQ(fleet.count_holding(deadly), fleet_size);
    fleet.run(seconds{33});
    EXPECT_EQ(fleet.count_holding(deadly), 0U);
    EXPECT_EQ(fleet.crashes(3, deadly), 3U);
    fleet.run_well(3, deadly);
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.crashes(9, deadly), 0U);
    fleet.crash(4, {deadly});
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.count_holding(deadly), 0U);
    EXPECT_EQ(fleet.count_events("request_released"), fleet_size);
}

/// Guards against a request that is let through and must crash three more upstreams.
TEST(pattern, a_request_that_is_not_cured_is_held_again_by_one_crash) {
    small_fleet fleet(fleet_size);
    crash_three(fleet, deadly);
    fleet.run(seconds{95});
    EXPECT_EQ(fleet.count_holding(deadly), 0U);
    fleet.crash(5, {deadly});
    fleet.run(milliseconds{500});
    EXPECT_EQ(fleet.count_holding(deadly), fleet_size);
    fleet.run(seconds{115});
    EXPECT_EQ(fleet.count_holding(deadly), fleet_size);
    fleet.run(seconds{40});
    EXPECT_EQ(fleet.count_holding(deadly), 0U);
}

/// Guards against suspects that stay for ever.
TEST(pattern, suspects_are_forgotten_a_minute_after_their_last_crash) {
    small_fleet fleet(fleet_size);
    fleet.crash(0, {innocent});
    fleet.crash(1, {innocent});
    fleet.run(seconds{50});
    EXPECT_EQ(fleet.crashes(9, innocent), 2U);
    fleet.run(seconds{15});
    for (const auto& node : fleet.nodes) {
        EXPECT_TRUE(node.records.empty());
        EXPECT_EQ(node.view, nullptr);
    }
}

/// Guards against a full table that forgets what is held, or what has crashed two upstreams.
TEST(pattern, a_flood_of_suspects_does_not_evict_held_requests) {
    small_fleet fleet(4);
    crash_three(fleet, deadly);
    const auto nearly = make_digest(5);
    fleet.crash(0, {nearly});
    fleet.crash(1, {nearly});
    std::uint64_t number = 10'000;
    for (int crash = 0; crash < 150; ++crash) {
        std::vector<request_digest> beside;
        beside.reserve(20);
        for (int i = 0; i < 20; ++i) {
            beside.push_back(make_digest(number++));
        }
        fleet.crash(static_cast<std::size_t>(crash) % 4, beside);
        fleet.run(milliseconds{20});
    }
    fleet.run(seconds{10});
    EXPECT_EQ(fleet.count_holding(deadly), 4U);
    for (std::size_t node = 0; node < 4; ++node) {
        EXPECT_EQ(fleet.nodes[node].records.size(), max_records);
        EXPECT_EQ(fleet.crashes(node, nearly), 2U);
    }
    fleet.crash(3, {nearly});
    fleet.run(seconds{1});
    EXPECT_EQ(fleet.count_holding(nearly), 4U);
}

/// Guards against several copies of one request at one upstream that count as several crashes.
TEST(pattern, a_crash_counts_once_for_a_request_that_ran_several_times) {
    small_fleet fleet(2);
    fleet.crash(0, {innocent, innocent, innocent});
    EXPECT_EQ(fleet.crashes(0, innocent), 1U);
    EXPECT_EQ(fleet.count_events("request_suspected"), 1U);
}

TEST(pattern, an_operator_lifts_a_hold_everywhere) {
    small_fleet fleet(fleet_size);
    crash_three(fleet, deadly);
    fleet.run(seconds{1});
    actions out;
    EXPECT_TRUE(lift(fleet.nodes[6], fleet.tables[6], deadly, fleet.now, fleet.random, out));
    EXPECT_FALSE(lift(fleet.nodes[6], fleet.tables[6], deadly, fleet.now, fleet.random, out));
    fleet.run(seconds{5});
    EXPECT_EQ(fleet.count_holding(deadly), 0U);
}

} // namespace
} // namespace cyclamenhatch::quarantine
