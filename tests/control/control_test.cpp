#include "control/feed_fleet.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::control {
namespace {

using testing::document_key;
using testing::feed_fleet;
using testing::order_key;
using testing::record_key;

/// A fleet whose nodes have all started and hold the configuration.
feed_fleet start_fleet(std::size_t count) {
    feed_fleet fleet(count);
    fleet.write(document_key, "1 /first/");
    for (std::size_t node = 0; node < count; ++node) {
        fleet.start(node);
    }
    fleet.run(seconds{4});
    return fleet;
}

void expect_prefix(feed_fleet& fleet, const std::string& prefix) {
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        EXPECT_EQ(fleet.prefix_at(node), prefix) << node;
    }
}

/// Guards against a node that takes calls right after its start and refuses them for lack of
/// endpoints: it had read its configuration before it met the other nodes.
TEST(readiness, a_node_takes_no_calls_before_it_knows_other_members) {
    auto fleet = start_fleet(4);
    ASSERT_EQ(fleet.count_ready(), 4U);
    for (int restart = 0; restart < 20; ++restart) {
        fleet.start(3);
        bool was_ready_alone = false;
        for (int step = 0; step < 400; ++step) {
            fleet.run(milliseconds{5});
            const auto view = make_routing_view(*fleet.nodes[3], fleet.now);
            was_ready_alone = was_ready_alone || (view.is_ready && view.live_nodes == 1);
        }
        EXPECT_FALSE(was_ready_alone);
        EXPECT_EQ(fleet.count_ready(), 4U);
    }
}

/// A node without any other member goes on alone once nobody has answered.
TEST(readiness, a_lone_node_becomes_ready) {
    auto fleet = start_fleet(1);
    EXPECT_EQ(fleet.count_ready(), 1U);
}

/// Guards against a rush on the store when a fleet starts at once: each node took the duties of
/// watcher and contact before it knew the others, and read again until the configuration came.
TEST(store_requests, a_fleet_that_starts_at_once_sends_few_for_each_node) {
    constexpr std::size_t count = 80;
    feed_fleet fleet(count);
    for (std::size_t node = 0; node < count; ++node) {
        fleet.start(node);
        if (node % 4 == 0) {
            fleet.run(milliseconds{15});
        }
    }
    fleet.run(seconds{4});
    fleet.write(document_key, "1 /first/");
    fleet.run(seconds{6});
    EXPECT_EQ(fleet.count_ready(), count);
    EXPECT_EQ(fleet.prefix_at(count - 1), "/first/");
    // Two reads of each node, and half as much for what few nodes do for the others.
    EXPECT_LE(fleet.store_cost(), 2.5 * count);
}

/// Guards against a node that starts alone and reads more than its own document and contacts, or
/// upsets the duties of others for long.
TEST(store_requests, a_node_that_starts_later_costs_at_most_four_requests) {
    auto fleet = start_fleet(20);
    fleet.run(seconds{10});
    const auto at_begin = fleet.store_cost();
    fleet.run(seconds{10});
    const auto at_start = fleet.store_cost();
    fleet.start(7);
    fleet.run(seconds{10});
    EXPECT_EQ(fleet.count_ready(), 20U);
    const auto idle_cost = at_start - at_begin;
    EXPECT_LE(fleet.store_cost() - at_start, idle_cost + 4);
}

/// A change reaches all nodes while the watcher of the store is replaced by a new process.
TEST(store_requests, a_change_beside_the_restart_of_the_watcher_is_in_force_in_time) {
    auto fleet = start_fleet(12);
    fleet.run(seconds{10});
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        if (distribution::is_store_watcher(fleet.nodes[node]->distribution,
                                           fleet.nodes[node]->members)) {
            fleet.start(node);
            break;
        }
    }
    fleet.run(milliseconds{300});
    fleet.write(document_key, "2 /second/");
    fleet.run(seconds{2});
    expect_prefix(fleet, "/second/");
}

/// A fleet in which the upstream beside the node 3 has just announced its leave.
feed_fleet start_fleet_with_leave(std::size_t count) {
    auto fleet = start_fleet(count);
    msg::upstream_record_msg upstream;
    upstream.service = "ledger";
    upstream.instance = "a";
    upstream.started_ms = 1;
    upstream.state = msg::upstream_state::ready;
    fleet.announce(3, upstream);
    fleet.run(seconds{2});
    upstream.state = msg::upstream_state::gone;
    upstream.leaves = true;
    fleet.announce(3, upstream);
    return fleet;
}

/// Guards against a leave that is confirmed to the upstream and forgotten when its node ends before
/// its next tick (DRAIN).
TEST(announced_leave, is_known_to_others_once_it_is_confirmed) {
    auto fleet = start_fleet_with_leave(4);
    fleet.start(3);
    fleet.run(seconds{2});
    const auto& recovered = fleet.nodes[3]->members.self.upstream;
    ASSERT_TRUE(recovered);
    EXPECT_EQ(recovered->state, msg::upstream_state::gone);
}

/// Guards against a leave that is forgotten when all nodes are killed at the same moment (DRAIN).
TEST(announced_leave, outlives_a_restart_of_all_nodes) {
    auto fleet = start_fleet_with_leave(4);
    fleet.run(seconds{2});
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        fleet.start(node);
    }
    fleet.run(seconds{4});
    ASSERT_EQ(fleet.count_ready(), 4U);
    const auto& recovered = fleet.nodes[3]->members.self.upstream;
    ASSERT_TRUE(recovered);
    EXPECT_EQ(recovered->state, msg::upstream_state::gone);
}

/// A fleet on a store that states its era.
feed_fleet start_fleet_in_era(std::size_t count) {
    feed_fleet fleet(count);
    fleet.store.era = 1;
    fleet.write(document_key, "1 /first/");
    for (std::size_t node = 0; node < count; ++node) {
        fleet.start(node);
    }
    fleet.run(seconds{12});
    return fleet;
}

/// Guards against a fleet that ignores all changes after the store came back from an older copy,
/// since their revisions are lower than those seen before.
TEST(store_era, changes_after_a_restored_copy_take_effect) {
    auto fleet = start_fleet_in_era(6);
    for (int write = 0; write < 50; ++write) {
        fleet.write("elsewhere", "x");
    }
    const auto copy = fakes::save(fleet.store);
    fleet.run(milliseconds{200});
    fleet.write(document_key, "2 /second/");
    fleet.run(seconds{2});
    expect_prefix(fleet, "/second/");
    fakes::restore_in_new_era(fleet.store, copy, fleet.now);
    fleet.run(seconds{1});
    fleet.write(document_key, "2 /second/");
    fleet.run(seconds{2});
    fleet.write(document_key, "3 /third/");
    fleet.run(seconds{2});
    expect_prefix(fleet, "/third/");
    EXPECT_EQ(fleet.count_ready(), fleet.nodes.size());
}

/// Guards against a return to an older configuration while the store lacks the newest document.
TEST(store_era, a_configuration_in_force_stays_while_the_store_lacks_it) {
    auto fleet = start_fleet_in_era(6);
    const auto copy = fakes::save(fleet.store);
    fleet.write(document_key, "2 /second/");
    fleet.run(seconds{2});
    fakes::restore_in_new_era(fleet.store, copy, fleet.now);
    for (int step = 0; step < 40; ++step) {
        fleet.run(milliseconds{100});
        expect_prefix(fleet, "/second/");
    }
    EXPECT_EQ(fleet.count_ready(), fleet.nodes.size());
}

TEST(store_era, two_restored_copies_in_a_row_take_no_change_back) {
    auto fleet = start_fleet_in_era(6);
    const auto copy = fakes::save(fleet.store);
    fleet.write(document_key, "2 /second/");
    fleet.run(seconds{2});
    fakes::restore_in_new_era(fleet.store, copy, fleet.now);
    fleet.run(milliseconds{700});
    fakes::restore_in_new_era(fleet.store, copy, fleet.now);
    fleet.run(seconds{1});
    expect_prefix(fleet, "/second/");
    fleet.write(document_key, "2 /second/");
    fleet.run(milliseconds{300});
    fleet.write(document_key, "4 /fourth/");
    fleet.run(seconds{2});
    expect_prefix(fleet, "/fourth/");
}

std::string state_of(const std::string& record) {
    return record.substr(0, record.find(' '));
}

/// Guards against an order that is taken for a new one when the operators write it again, and
/// against an ending that is lost with the store's latest writes.
TEST(store_era, an_ended_move_stays_ended_when_its_order_is_written_again) {
    auto fleet = start_fleet_in_era(6);
    const auto copy = fakes::save(fleet.store);
    fleet.write(order_key, "v2");
    // Without endpoints of the new version the move is taken back near its deadline.
    fleet.run(seconds{20});
    ASSERT_EQ(state_of(fleet.stored(record_key)), "back");
    const auto ended = fleet.stored(record_key);
    fakes::restore_in_new_era(fleet.store, copy, fleet.now);
    fleet.run(seconds{1});
    fleet.write(order_key, "v2");
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.stored(record_key), ended);
    for (const auto& node : fleet.nodes) {
        ASSERT_EQ(node->moves.open.size(), 1U);
        EXPECT_EQ(moves::version_shares(node->moves, fleet.now).begin()->second.permille, 0U);
    }
}

/// Guards against a version that was taken back and gets calls again while the store lacks the
/// order of its move.
TEST(store_era, a_move_stays_while_the_store_lacks_its_order) {
    auto fleet = start_fleet_in_era(6);
    const auto copy = fakes::save(fleet.store);
    fleet.write(order_key, "v2");
    fleet.run(seconds{20});
    ASSERT_EQ(state_of(fleet.stored(record_key)), "back");
    fakes::restore_in_new_era(fleet.store, copy, fleet.now);
    for (int step = 0; step < 20; ++step) {
        fleet.run(milliseconds{100});
        for (const auto& node : fleet.nodes) {
            const auto shares = moves::version_shares(node->moves, fleet.now);
            ASSERT_EQ(shares.size(), 1U) << step;
            EXPECT_EQ(shares.begin()->second.permille, 0U);
        }
    }
}

/// Guards against an order that had been replaced and is carried out anew, since the older copy
/// holds it and lacks the one that followed.
TEST(store_era, a_replaced_order_in_the_older_copy_opens_no_move) {
    auto fleet = start_fleet_in_era(6);
    fleet.write(order_key, "v2");
    fleet.run(seconds{20});
    const auto copy = fakes::save(fleet.store);
    fleet.write(order_key, "v3");
    fleet.run(seconds{2});
    fakes::restore_in_new_era(fleet.store, copy, fleet.now);
    const auto expect_v3 = [&](seconds duration) {
        for (const auto end = fleet.now + duration; fleet.now < end;) {
            fleet.run(milliseconds{100});
            for (const auto& node : fleet.nodes) {
                ASSERT_EQ(node->moves.open.size(), 1U);
                EXPECT_EQ(node->moves.open.begin()->second.planned.new_version, version_id("v3"));
            }
        }
    };
    expect_v3(seconds{2});
    const auto name = fleet.nodes[0]->moves.open.begin()->first.name;
    fleet.write(order_key, "v3");
    expect_v3(seconds{3});
    EXPECT_EQ(fleet.nodes[0]->moves.open.begin()->first.name, name);
}

std::ptrdiff_t count_contacts(const feed_fleet& fleet) {
    return std::count_if(
        fleet.store.entries.begin(), fleet.store.entries.end(),
        [](const auto& item) { return item.first.find("/contact/") != std::string::npos; });
}

/// Guards against renewals of leases whose numbers the store has given to others: they would keep
/// the entries of clients that are gone.
TEST(store_era, leases_given_out_again_are_not_renewed) {
    auto fleet = start_fleet_in_era(6);
    const auto copy = fakes::save(fleet.store);
    fleet.run(seconds{1});
    const auto given_out = fleet.store.next_lease;
    fakes::restore_in_new_era(fleet.store, copy, fleet.now);
    fleet.store.next_lease = 1;
    // A client that ends at once gets all the numbers that were in use.
    while (fleet.store.next_lease < given_out) {
        const auto lease = fleet.store.next_lease++;
        fleet.store.leases[lease] = {seconds{3}, fleet.now + seconds{3}};
    }
    fleet.run(seconds{8});
    for (std::int64_t lease = 1; lease < given_out; ++lease) {
        EXPECT_FALSE(fleet.store.leases.contains(lease)) << lease;
    }
    EXPECT_GE(count_contacts(fleet), 2);
}

constexpr request_digest deadly{.high = 1, .low = 2};

void crash_three(feed_fleet& fleet) {
    for (std::size_t node = 0; node < 3; ++node) {
        fleet.crash(node, deadly);
        fleet.run(milliseconds{100});
    }
}

/// Guards against a hold that needs the store, and against a view without it.
TEST(quarantine, a_request_is_held_everywhere_after_three_crashes_without_the_store) {
    auto fleet = start_fleet(12);
    fakes::set_down(fleet.store, true, fleet.now);
    fleet.crash(0, deadly);
    fleet.crash(5, deadly);
    fleet.run(seconds{1});
    EXPECT_EQ(fleet.count_holding(deadly), 0U);
    fleet.crash(11, deadly);
    fleet.run(milliseconds{200});
    EXPECT_EQ(fleet.count_holding(deadly), 12U);
    fleet.run_well(4, deadly);
    fleet.run(milliseconds{200});
    EXPECT_EQ(fleet.count_holding(deadly), 0U);
}

/// Guards against a restarted node that takes calls before it knows which requests are held.
TEST(quarantine, a_node_takes_no_calls_before_it_knows_what_is_held) {
    auto fleet = start_fleet(8);
    crash_three(fleet);
    fleet.run(seconds{1});
    for (int restart = 0; restart < 10; ++restart) {
        fleet.start(3);
        for (int step = 0; step < 200; ++step) {
            fleet.run(milliseconds{5});
            EXPECT_EQ(fleet.count_holding(deadly), fleet.count_ready());
        }
        EXPECT_EQ(fleet.count_ready(), 8U);
    }
}

} // namespace
} // namespace cyclamenhatch::control
