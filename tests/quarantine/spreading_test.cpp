#include "quarantine/spreading.h"

#include "messages/envelope.h"
#include "quarantine/fixture.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::quarantine {
namespace {

const request_digest deadly = make_digest(1);

void crash_three(small_fleet& fleet) {
    for (std::size_t node = 0; node < 3; ++node) {
        fleet.crash(node, {deadly, make_digest(100 + node)});
    }
}

struct spreading_to : testing::TestWithParam<std::size_t> {};

/// Guards against a hold that reaches a part of the fleet only, or late, when messages are lost.
TEST_P(spreading_to, all_nodes_takes_less_than_2_s_with_a_third_of_the_messages_lost) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        small_fleet fleet(GetParam());
        fleet.random.seed(seed);
        fleet.loss = 3;
        fleet.run(seconds{2});
        crash_three(fleet);
        fleet.run(seconds{2});
        EXPECT_EQ(fleet.count_holding(deadly), GetParam()) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(fleets, spreading_to, testing::Values(16, 300));

/// Guards against a restart that lets a held request through again.
TEST(spreading, a_restarted_node_knows_what_is_held_within_a_second) {
    for (const std::size_t loss : {0U, 3U}) {
        small_fleet fleet(16);
        fleet.loss = loss;
        crash_three(fleet);
        fleet.run(seconds{20});
        fleet.restart(7);
        EXPECT_FALSE(fleet.is_held(7, deadly));
        fleet.run(seconds{1});
        EXPECT_TRUE(fleet.is_held(7, deadly)) << loss;
        EXPECT_TRUE(fleet.nodes[7].has_learnt) << loss;
    }
}

/// Guards against a rolling restart in which what is held is forgotten step by step.
TEST(spreading, a_rolling_restart_forgets_nothing) {
    small_fleet fleet(16);
    crash_three(fleet);
    fleet.run(seconds{5});
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        fleet.restart(node);
        fleet.run(seconds{2});
        EXPECT_EQ(fleet.count_holding(deadly), fleet.size()) << node;
    }
}

TEST(spreading, one_node_tells_all_others_after_their_restart) {
    for (const std::size_t count : {16U, 300U}) {
        small_fleet fleet(count);
        crash_three(fleet);
        fleet.run(seconds{10});
        for (std::size_t node = 1; node < count; ++node) {
            fleet.restart(node);
        }
        fleet.run(seconds{4});
        EXPECT_EQ(fleet.count_holding(deadly), count);
    }
}

/// Guards against a new node in a fleet without suspects, or alone, that never counts as informed.
TEST(spreading, a_new_node_has_learnt_when_there_is_nothing_to_learn) {
    small_fleet fleet(3);
    fleet.run(milliseconds{300});
    EXPECT_TRUE(fleet.nodes[0].has_learnt);
    small_fleet lone(1);
    lone.run(milliseconds{300});
    EXPECT_FALSE(lone.nodes[0].has_learnt);
    lone.tables[0].has_joined = true;
    lone.run(milliseconds{300});
    EXPECT_TRUE(lone.nodes[0].has_learnt);
}

/// Guards against a node that stays out of service when nobody answers.
TEST(spreading, a_new_node_gives_up_asking_after_a_second) {
    small_fleet fleet(3);
    fleet.loss = 1;
    fleet.run(milliseconds{1300});
    EXPECT_TRUE(fleet.nodes[0].has_learnt);
}

/// Guards against messages without end in a fleet that has nothing to tell.
TEST(spreading, a_quiet_fleet_sends_nothing) {
    small_fleet fleet(16);
    fleet.run(seconds{3});
    const auto before = fleet.messages;
    fleet.run(seconds{60});
    EXPECT_EQ(fleet.messages, before);
}

/// Guards against news that two nodes return to each other, and against records that pass between
/// nodes that forget them at slightly different times.
TEST(spreading, known_suspects_cost_one_exchange_of_each_node_in_2_s) {
    small_fleet fleet(16);
    crash_three(fleet);
    fleet.run(seconds{10});
    const auto before = fleet.messages;
    fleet.run(seconds{100});
    EXPECT_LE(fleet.messages - before, 16U * 51U);
}

/// Guards against a message as large as the whole table.
TEST(spreading, messages_are_bounded_while_a_full_table_is_learnt) {
    small_fleet fleet(4);
    for (std::uint64_t number = 0; number < max_records; number += 8) {
        std::vector<request_digest> beside;
        for (std::uint64_t i = 0; i < 8; ++i) {
            beside.push_back(make_digest(10 + number + i));
        }
        fleet.crash(number % 4, beside);
        fleet.run(milliseconds{40});
    }
    fleet.run(seconds{15});
    fleet.restart(2);
    fleet.run(seconds{1});
    EXPECT_EQ(fleet.nodes[2].records.size(), fleet.nodes[1].records.size());
    EXPECT_LE(fleet.largest_message, max_records_per_message);
}

/// Guards against messages that delay others on a link: records with all the ids they can have.
TEST(spreading, a_message_of_full_records_takes_less_than_16_kb) {
    const auto size_with = [](std::size_t crashes) {
        record known;
        known.service = service_id("ledger");
        known.route = route_id("ledger-all");
        for (std::uint64_t id = 1; id <= crashes; ++id) {
            add_crash(known, id << 40U, start_time);
            clear(known);
        }
        msg::quarantine_state_msg message;
        for (std::size_t i = 0; i < max_records_per_message; ++i) {
            message.records.push_back(std::make_unique<msg::suspect_record_msg>(
                to_message(make_digest(i), known, start_time)));
        }
        return encode_envelope(node_id("n1"), message).size();
    };
    EXPECT_LE(size_with(max_crash_ids), 16'384U);
    EXPECT_LE(size_with(1), 16'384U / 2);
}

/// Guards against a malformed message that is kept or sent on.
TEST(spreading, malformed_records_are_ignored) {
    EXPECT_FALSE(from_message({}, start_time));
    msg::suspect_record_msg message;
    message.digest = std::make_unique<msg::request_key>(1, 2);
    EXPECT_FALSE(from_message(message, start_time));
    message.crashes = {0};
    EXPECT_FALSE(from_message(message, start_time));
    message.crashes = {9, 3, 3, 8, 7, 6, 5, 4, 2, 1};
    message.cleared = {12};
    message.service = std::string(5000, 's');
    const auto read = from_message(message, start_time);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->second.crashes, (crash_ids{3, 4, 5, 6, 7, 8, 9, 12}));
    EXPECT_LE(read->second.service.value.size(), 256U);
    // Calls of senders that state no digest would be held.
    message.digest = std::make_unique<msg::request_key>(0, 0);
    EXPECT_FALSE(from_message(message, start_time));
    message.digest = std::make_unique<msg::request_key>(1, 2);
    message.age_ms = UINT64_MAX;
    EXPECT_FALSE(from_message(message, start_time));
}

TEST(spreading, a_record_survives_a_message) {
    record known;
    known.service = service_id("s");
    known.route = route_id("r");
    add_crash(known, 4, start_time);
    clear(known);
    add_crash(known, 9, start_time + seconds(1));
    const auto now = start_time + seconds(3);
    const auto read = from_message(to_message(deadly, known, now), now);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->first, deadly);
    EXPECT_EQ(read->second.crashes, known.crashes);
    EXPECT_EQ(read->second.cleared, known.cleared);
    EXPECT_EQ(read->second.last_crash, known.last_crash);
    EXPECT_EQ(read->second.route, known.route);
}

} // namespace
} // namespace cyclamenhatch::quarantine
