#include "call/sent_cancels.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::call {
namespace {

constexpr instant start{microseconds(1'000'000'000)};
constexpr milliseconds after_repeat_delay{150};
const node_id gate("gate");
const peer_address address{"127.0.0.1", 1};

/// Guards against a run that goes on for a caller that has left, because its cancel was lost.
TEST(sent_cancels, are_repeated_until_they_are_delivered) {
    sent_cancels cancels;
    note_sent(cancels, {1, 1}, gate, address, start);
    EXPECT_TRUE(take_due(cancels, start + after_repeat_delay).empty());
    auto now = start;
    for (int i = 0; i < 3; ++i) {
        note_undelivered(cancels, {1, 1}, now);
        EXPECT_TRUE(take_due(cancels, now).empty());
        now += after_repeat_delay;
        const auto due = take_due(cancels, now);
        ASSERT_EQ(due.size(), 1U);
        EXPECT_EQ(due[0].call, (call_id{1, 1}));
        EXPECT_EQ(due[0].node, gate);
        EXPECT_EQ(due[0].address, address);
    }
    EXPECT_TRUE(take_due(cancels, now + after_repeat_delay).empty());
}

TEST(sent_cancels, of_a_lost_link_are_repeated_and_no_others) {
    sent_cancels cancels;
    note_sent(cancels, {1, 1}, gate, address, start);
    note_sent(cancels, {1, 2}, node_id("other"), address, start);
    note_link_lost(cancels, gate, start);
    const auto due = take_due(cancels, start + after_repeat_delay);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].call, (call_id{1, 1}));
}

/// Guards against cancels that are sent without end to a node that is gone.
TEST(sent_cancels, are_forgotten) {
    sent_cancels cancels;
    note_sent(cancels, {1, 1}, gate, address, start);
    note_undelivered(cancels, {1, 1}, start + seconds(4));
    EXPECT_TRUE(take_due(cancels, start + seconds(5)).empty());
    EXPECT_TRUE(cancels.by_call.empty());
    EXPECT_TRUE(cancels.order.empty());
}

/// Guards against memory that grows with the number of cancels.
TEST(sent_cancels, are_bounded_in_number) {
    sent_cancels cancels;
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        note_sent(cancels, {1, i}, gate, address, start);
    }
    EXPECT_EQ(cancels.by_call.size(), 10'000U);
    EXPECT_EQ(cancels.order.size(), 10'000U);
}

} // namespace
} // namespace cyclamenhatch::call
