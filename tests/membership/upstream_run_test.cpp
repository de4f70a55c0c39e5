#include "membership/upstream_run.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::membership {
namespace {

constexpr instant now{microseconds(1'000'000'000)};

msg::upstream_record_msg announced(const std::string& instance, std::uint64_t started,
                                   std::uint64_t sequence,
                                   msg::upstream_state state = msg::upstream_state::ready) {
    msg::upstream_record_msg record;
    record.instance = instance;
    record.started_ms = started;
    record.sequence = sequence;
    record.state = state;
    return record;
}

TEST(upstream_run, an_announcement_that_comes_late_changes_nothing) {
    upstream_run run;
    EXPECT_TRUE(take_announcement(run, announced("a", 100, 5), now));
    EXPECT_FALSE(take_announcement(run, announced("a", 100, 4), now));
    EXPECT_FALSE(take_announcement(run, announced("a", 100, 5), now));
    EXPECT_TRUE(take_announcement(run, announced("a", 100, 6), now));
}

TEST(upstream_run, a_dead_run_does_not_come_back) {
    upstream_run run;
    EXPECT_TRUE(take_announcement(run, announced("a", 100, 50), now));
    EXPECT_TRUE(take_announcement(run, announced("b", 200, 1), now));
    EXPECT_FALSE(take_announcement(run, announced("a", 100, 51), now));
    EXPECT_EQ(run.instance, "b");
}

TEST(upstream_run, a_new_run_may_have_the_same_id_and_count_anew) {
    upstream_run run;
    EXPECT_TRUE(take_announcement(run, announced("a", 100, 50), now));
    EXPECT_TRUE(take_leave(run, "a", now));
    EXPECT_FALSE(take_announcement(run, announced("a", 100, 51), now));
    EXPECT_TRUE(take_announcement(run, announced("a", 300, 1), now));
    EXPECT_FALSE(run.has_left);
}

/// The node has restarted and hears of the leave first, then of an announcement made before it.
TEST(upstream_run, one_that_left_before_it_was_known_does_not_come_back) {
    upstream_run run;
    EXPECT_TRUE(take_leave(run, "a", now));
    const auto left_ms = static_cast<std::uint64_t>(to_unix_ms(now));
    EXPECT_FALSE(take_announcement(run, announced("a", left_ms - 30'000, 7), now + seconds{1}));
    EXPECT_FALSE(take_announcement(run, announced("a", 0, 7), now + seconds{1}));
    // A later run may have the same id, and another instance is free to come.
    auto other = run;
    EXPECT_TRUE(take_announcement(other, announced("b", left_ms - 30'000, 1), now + seconds{1}));
    EXPECT_TRUE(take_announcement(run, announced("a", left_ms + 4'000, 1), now + seconds{5}));
}

/// The node does not serve yet, as while the store is down after its restart, and holds the
/// upstream back: one that leaves meanwhile must not be offered afterwards.
TEST(upstream_run, one_that_leaves_while_it_is_held_back_is_gone) {
    upstream_run run;
    std::optional held = announced("a", 100, 5);
    EXPECT_TRUE(take_announcement(run, *held, now));
    const auto left = end_run(run, held, nullptr, "a", now);
    ASSERT_TRUE(left);
    EXPECT_EQ(left->state, msg::upstream_state::gone);
    EXPECT_FALSE(held);
    EXPECT_FALSE(take_announcement(run, announced("a", 100, 6), now));
    EXPECT_FALSE(end_run(run, held, nullptr, "b", now));
}

TEST(upstream_run, one_that_drains_does_not_return) {
    upstream_run run;
    EXPECT_TRUE(take_announcement(run, announced("a", 100, 1), now));
    EXPECT_TRUE(take_announcement(run, announced("a", 100, 2, msg::upstream_state::draining), now));
    EXPECT_FALSE(take_announcement(run, announced("a", 100, 3), now));
    EXPECT_EQ(run.state, msg::upstream_state::draining);
}

TEST(upstream_run, only_the_run_that_is_there_leaves) {
    upstream_run run;
    EXPECT_TRUE(take_announcement(run, announced("b", 200, 1), now));
    EXPECT_FALSE(take_leave(run, "a", now));
    EXPECT_TRUE(take_leave(run, "b", now));
    EXPECT_EQ(run.state, msg::upstream_state::gone);
}

TEST(upstream_run, without_an_instance_id_an_upstream_may_return_from_draining) {
    upstream_run run;
    EXPECT_TRUE(take_announcement(run, announced("", 0, 0, msg::upstream_state::draining), now));
    EXPECT_TRUE(take_announcement(run, announced("", 0, 0), now));
}

} // namespace
} // namespace cyclamenhatch::membership
