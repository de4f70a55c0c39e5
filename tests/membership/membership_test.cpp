#include "membership/duty.h"
#include "membership/membership.h"
#include "membership/record_merge.h"
#include "membership/stable_hash.h"
#include "membership/updates.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace cyclamenhatch::membership {
namespace {

using msg::liveness;

constexpr milliseconds tick{100};
const instant start = from_unix_ms(1'000'000);

msg::member_record_msg make_record(const std::string& node, std::uint64_t incarnation = 5,
                                   liveness state = liveness::alive) {
    msg::member_record_msg record;
    record.node = node;
    record.data_centre = "milan";
    record.ip = node;
    record.link_port = 7400;
    record.incarnation = incarnation;
    record.state = state;
    return record;
}

/// A joined table of "self" and members m0, m1, ...
table make_joined(int members) {
    auto state = make_table({}, make_record("self"), {}, start);
    state.sync = {};
    state.has_joined = true;
    for (int i = 0; i < members; ++i) {
        merge_record(state, make_record("m" + std::to_string(i)), record_source::page, start);
    }
    state.updates.clear();
    return state;
}

incoming push_from(const std::string& node, const msg::member_record_msg& record) {
    msg::probe_ack_msg push;
    push.updates.push_back(std::make_unique<msg::member_record_msg>(record));
    return {node_id{node}, std::move(push)};
}

/// Ticks until `end`; all messages sent are lost.
instant tick_until(table& state, instant now, instant end, random_source& random) {
    for (; now < end; now += tick) {
        (void)on_tick(state, now, random);
    }
    return now;
}

struct merge_row {
    const char* name;
    std::uint64_t existing_incarnation;
    liveness existing;
    std::uint64_t claimed_incarnation;
    liveness claimed;
    std::uint64_t incarnation;
    liveness state;
    milliseconds later{0};
};

class merging : public testing::TestWithParam<merge_row> {};

TEST_P(merging, keeps_the_newer_claim) {
    const auto& row = GetParam();
    auto state = make_joined(0);
    merge_record(state, make_record("m", row.existing_incarnation, row.existing),
                 record_source::update, start);
    merge_record(state, make_record("m", row.claimed_incarnation, row.claimed),
                 record_source::update, start + row.later);
    EXPECT_EQ(state.members.at(node_id{"m"}).record.incarnation, row.incarnation);
    EXPECT_EQ(state.members.at(node_id{"m"}).record.state, row.state);
}

INSTANTIATE_TEST_SUITE_P(
    table, merging,
    testing::Values(
        merge_row{"stale_suspicion", 5, liveness::alive, 4, liveness::suspect, 5, liveness::alive},
        merge_row{"stale_departure", 5, liveness::alive, 4, liveness::left, 5, liveness::alive},
        merge_row{"suspicion", 5, liveness::alive, 5, liveness::suspect, 5, liveness::suspect},
        merge_row{"refutation", 5, liveness::suspect, 6, liveness::alive, 6, liveness::alive},
        merge_row{"no_refutation", 5, liveness::suspect, 5, liveness::alive, 5, liveness::suspect},
        merge_row{"early_death", 5, liveness::suspect, 5, liveness::dead, 5, liveness::suspect,
                  milliseconds{1400}},
        merge_row{"death", 5, liveness::suspect, 5, liveness::dead, 5, liveness::dead,
                  milliseconds{1500}},
        merge_row{"unsuspected_death", 5, liveness::alive, 5, liveness::dead, 5, liveness::suspect},
        merge_row{"later_death", 5, liveness::alive, 6, liveness::dead, 6, liveness::suspect},
        merge_row{"tombstone", 5, liveness::dead, 5, liveness::alive, 5, liveness::dead},
        merge_row{"old_tombstone", 5, liveness::left, 4, liveness::alive, 5, liveness::left},
        merge_row{"restart", 5, liveness::dead, 9, liveness::alive, 9, liveness::alive},
        merge_row{"leave", 5, liveness::alive, 6, liveness::left, 6, liveness::left}),
    [](const auto& row) { return row.param.name; });

TEST(membership, refutes_false_claims_about_itself) {
    for (const auto claimed : {liveness::suspect, liveness::dead, liveness::left}) {
        auto state = make_joined(1);
        random_source random(1);
        (void)on_message(state, push_from("m0", make_record("self", 5, claimed)), start, random);
        EXPECT_EQ(state.self.incarnation, 6U);
        EXPECT_EQ(state.self.state, liveness::alive);
        ASSERT_EQ(state.updates.size(), 1U);
        EXPECT_EQ(state.updates.front().node, node_id{"self"});
    }
}

TEST(membership, replaces_the_address_of_a_member_that_moved) {
    auto state = make_joined(1);
    auto moved = make_record("m0", 6);
    moved.ip = "elsewhere";
    merge_record(state, moved, record_source::update, start);
    EXPECT_EQ(link_address(*find_record(state, node_id{"m0"})).ip, "elsewhere");
}

TEST(membership, suspects_before_it_declares_dead) {
    auto state = make_joined(1);
    random_source random(1);
    const auto& silent = state.members.at(node_id{"m0"}).record;
    auto now = tick_until(state, start, start + milliseconds{1500}, random);
    EXPECT_EQ(silent.state, liveness::suspect);
    now = tick_until(state, now, start + milliseconds{3900}, random);
    EXPECT_EQ(silent.state, liveness::suspect);
    tick_until(state, now, start + milliseconds{4500}, random);
    EXPECT_EQ(silent.state, liveness::dead);
}

TEST(membership, sends_indirect_probes_before_it_suspects) {
    auto state = make_joined(4);
    random_source random(1);
    std::set<std::string> asked;
    for (auto now = start; now <= start + milliseconds{400}; now += tick) {
        for (const auto& message : on_tick(state, now, random)) {
            const auto* probe = std::get_if<msg::probe_msg>(&message.message);
            if (probe != nullptr && !probe->target.empty()) {
                asked.insert(probe->target);
                // The answer forwarded by the helper ends the probe.
                msg::probe_ack_msg answer;
                answer.sequence = probe->sequence;
                answer.target = probe->target;
                (void)on_message(state, {message.to, std::move(answer)}, now, random);
            }
        }
    }
    EXPECT_EQ(asked.size(), 1U);
    EXPECT_TRUE(state.probes.empty());
    for (const auto* record : live_records(state)) {
        EXPECT_EQ(record->state, liveness::alive);
    }
}

TEST(membership, probes_departed_members_that_others_report_alive) {
    auto state = make_joined(1);
    random_source random(1);
    state.members.at(node_id{"m0"}).record.state = liveness::dead;
    state.next_rejoin = start + seconds{60};
    (void)on_message(state, push_from("other", make_record("m0")), start, random);
    const auto sends = on_tick(state, start, random);
    ASSERT_EQ(sends.size(), 1U);
    EXPECT_EQ(sends.front().to, node_id{"m0"});
    const auto& update = std::get<msg::probe_msg>(sends.front().message).updates.front();
    EXPECT_EQ(update->state, liveness::dead);
    EXPECT_TRUE(on_tick(state, start + tick, random).empty());
}

TEST(membership, forgets_tombstones_in_time) {
    auto state = make_joined(1);
    random_source random(1);
    const auto left = make_record("m0", 6, liveness::left);
    merge_record(state, left, record_source::update, start);
    const seconds retention{state.settings.tombstone_s};
    auto now = tick_until(state, start, start + retention - seconds{1}, random);
    merge_record(state, make_record("m0"), record_source::page, now);
    EXPECT_EQ(live_records(state).size(), 1U);
    tick_until(state, now, start + retention + seconds{1}, random);
    EXPECT_FALSE(state.members.contains(node_id{"m0"}));
}

TEST(membership, suspects_nobody_after_its_own_pause) {
    auto state = make_joined(3);
    random_source random(1);
    auto now = tick_until(state, start, start + milliseconds{400}, random);
    (void)on_tick(state, now + seconds{60}, random);
    EXPECT_EQ(state.pauses, 1U);
    EXPECT_EQ(state.self.incarnation, 6U);
    EXPECT_FALSE(state.has_joined);
    for (const auto* record : live_records(state)) {
        EXPECT_EQ(record->state, liveness::alive);
    }
}

TEST(membership, sends_only_answers_after_it_has_left) {
    auto state = make_joined(3);
    random_source random(1);
    EXPECT_EQ(leave(state, start, random).size(), 3U);
    EXPECT_TRUE(on_tick(state, start + tick, random).empty());
    const auto answers = on_message(state, {node_id{"m0"}, msg::probe_msg{}}, start + tick, random);
    EXPECT_EQ(answers.size(), 1U);
}

TEST(membership, reads_a_large_table_page_by_page) {
    auto contact = make_joined(200);
    auto state = make_table({}, make_record("new"), {{"self", 7400}}, start);
    random_source random(1);
    auto sends = on_tick(state, start, random);
    std::size_t pages = 0;
    for (int rounds = 0; rounds < 10 && !state.has_joined; ++rounds) {
        std::vector<outgoing> next;
        for (const auto& message : sends) {
            if (!std::holds_alternative<msg::member_sync_msg>(message.message)) {
                continue;
            }
            for (auto& page :
                 on_message(contact, {node_id{"new"}, message.message}, start, random)) {
                ++pages;
                EXPECT_LE(std::get<msg::member_page_msg>(page.message).records.size(), 64U);
                auto more = on_message(state, {node_id{"self"}, page.message}, start, random);
                std::move(more.begin(), more.end(), std::back_inserter(next));
            }
        }
        sends = std::move(next);
    }
    EXPECT_TRUE(state.has_joined);
    EXPECT_EQ(live_records(state).size(), 202U);
    // One page after its own id, then four from the start.
    EXPECT_EQ(pages, 5U);
}

struct patience_row {
    const char* name;
    std::vector<peer_address> contacts;
    bool is_asked;
    milliseconds shortest;
    milliseconds longest;
};

class joining_alone : public testing::TestWithParam<patience_row> {};

TEST_P(joining_alone, happens_after_silence) {
    const auto& row = GetParam();
    auto state = make_table({}, make_record("self"), row.contacts, start);
    random_source random(1);
    if (row.is_asked) {
        (void)on_message(state, {node_id{"m"}, msg::member_sync_msg{}}, start, random);
    }
    const auto now = tick_until(state, start, start + row.shortest, random);
    EXPECT_FALSE(state.has_joined);
    tick_until(state, now, start + row.longest, random);
    EXPECT_TRUE(state.has_joined);
}

INSTANTIATE_TEST_SUITE_P(
    table, joining_alone,
    testing::Values(
        patience_row{"no_contacts", {}, false, milliseconds{2000}, milliseconds{2200}},
        patience_row{"silent_contact", {{"x", 1}}, false, milliseconds{2000}, milliseconds{6200}},
        patience_row{"asked_by_others", {{"x", 1}}, true, milliseconds{1000}, milliseconds{1200}}),
    [](const auto& row) { return row.param.name; });

RC_GTEST_PROP(membership_property, keeps_the_highest_incarnation_in_any_order_of_updates, ()) {
    const auto count = *rc::gen::inRange(1, 12);
    auto state = make_joined(0);
    std::uint64_t highest = 0;
    for (int i = 0; i < count; ++i) {
        const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 5);
        const auto claim = static_cast<liveness>(*rc::gen::inRange(0, 4));
        const auto before = find_record(state, node_id{"m"});
        const auto incarnation_before = before == nullptr ? 0 : before->incarnation;
        merge_record(state, make_record("m", incarnation, claim), record_source::update, start);
        highest = std::max(highest, incarnation);
        RC_ASSERT(find_record(state, node_id{"m"})->incarnation >= incarnation_before);
    }
    RC_ASSERT(find_record(state, node_id{"m"})->incarnation == highest);
}

RC_GTEST_PROP(membership_property, messages_stay_bounded_and_updates_end, ()) {
    auto state = make_joined(*rc::gen::inRange(1, 60));
    random_source random(*rc::gen::arbitrary<std::uint32_t>());
    for (const auto& [node, other] : state.members) {
        queue_update(state, node);
    }
    const auto limit = state.settings.updates_per_message;
    for (int sent = 0; sent < 500 && !state.updates.empty(); ++sent) {
        RC_ASSERT(take_updates(state, node_id{"nobody"}).size() <= limit);
    }
    RC_ASSERT(state.updates.empty());
}

RC_GTEST_PROP(duty_property, moves_only_from_the_member_that_departs, ()) {
    auto state = make_joined(*rc::gen::inRange(3, 30));
    const auto before = duty_holders(state, "watch", 3);
    const auto gone = "m" + std::to_string(*rc::gen::inRange<std::size_t>(0, state.members.size()));
    merge_record(state, make_record(gone, 9, liveness::left), record_source::update, start);
    const auto after = duty_holders(state, "watch", 3);
    for (const auto& holder : before) {
        RC_ASSERT(holder.value == gone ||
                  std::find(after.begin(), after.end(), holder) != after.end());
    }
}

/// The duty is held by as many members as requested, all of which reach the store; if none reaches
/// it, by as many of all members.
RC_GTEST_PROP(duty_property, at_the_store_skips_members_that_do_not_reach_it, ()) {
    auto state = make_joined(*rc::gen::inRange(3, 30));
    std::size_t with_store = 1;
    for (auto& [name, other] : state.members) {
        other.record.store_away = *rc::gen::inRange(0, 3) > 0;
        with_store += other.record.store_away ? 0 : 1;
    }
    const auto all = live_records(state).size();
    const auto count_holders = [&] {
        std::size_t holders = 0;
        const std::string own = state.self.node;
        auto members = state.members;
        for (const auto& [name, other] : members) {
            auto view = table();
            view.self = other.record;
            view.members = members;
            view.members.erase(name);
            view.members[node_id(own)].record = state.self;
            holders += has_store_duty(view, "watch", 3, {}) ? 1 : 0;
        }
        return holders + (has_store_duty(state, "watch", 3, {}) ? 1 : 0);
    };
    RC_ASSERT(count_holders() == std::min<std::size_t>(3, with_store));
    state.self.store_away = true;
    RC_ASSERT(!has_store_duty(state, "watch", 3, {}) || with_store == 1);
    for (auto& [name, other] : state.members) {
        other.record.store_away = true;
    }
    RC_ASSERT(count_holders() == std::min<std::size_t>(3, all));
}

TEST(duty, ranks_are_the_same_in_every_build) {
    EXPECT_EQ(stable_hash("m0", stable_hash("watch")), 2466923926886050970ULL);
}

} // namespace
} // namespace cyclamenhatch::membership
