#include "control/feed_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cyclamenhatch::control {
namespace {

using namespace testing;

constexpr std::string_view milan_key = "op/evacuate/milan";
constexpr std::size_t node_count = 6;

feed_fleet start_fleet() {
    feed_fleet fleet(node_count);
    fleet.write(document_key, "1 /first/");
    fleet.run(milliseconds{100});
    for (std::size_t node = 0; node < node_count; ++node) {
        fleet.start(node);
    }
    fleet.run(seconds{4});
    return fleet;
}

std::size_t count_evacuated(const feed_fleet& fleet) {
    std::size_t count = 0;
    for (std::size_t node = 0; node < node_count; ++node) {
        count += fleet.nodes[node] && fleet.is_evacuated_at(node, "milan") ? 1 : 0;
    }
    return count;
}

TEST(evacuation, is_in_force_on_all_nodes_within_a_second_and_so_is_its_withdrawal) {
    auto fleet = start_fleet();
    fleet.write(milan_key, "{}");
    fleet.run(seconds{1});
    EXPECT_EQ(count_evacuated(fleet), node_count);
    EXPECT_EQ(fleet.nodes[0]->evacuated_since.size(), 1U);
    fleet.erase(milan_key);
    fleet.run(seconds{1});
    EXPECT_EQ(count_evacuated(fleet), 0U);
    EXPECT_TRUE(fleet.nodes[0]->evacuated_since.empty());
}

TEST(evacuation, a_withdrawal_while_it_still_spreads_wins) {
    auto fleet = start_fleet();
    fleet.write(milan_key, "{}");
    fleet.run(milliseconds{5});
    fleet.erase(milan_key);
    fleet.run(seconds{1});
    EXPECT_EQ(count_evacuated(fleet), 0U);
}

TEST(evacuation, outlives_an_outage_of_the_store_and_a_restart_of_all_nodes) {
    auto fleet = start_fleet();
    fleet.write(milan_key, "{}");
    fleet.run(seconds{1});
    fakes::set_down(fleet.store, true, fleet.now);
    fleet.run(seconds{10});
    EXPECT_EQ(count_evacuated(fleet), node_count);
    fakes::set_down(fleet.store, false, fleet.now);
    for (std::size_t node = 0; node < node_count; ++node) {
        fleet.start(node);
    }
    fleet.run(seconds{4});
    EXPECT_EQ(fleet.count_ready(), node_count);
    EXPECT_EQ(count_evacuated(fleet), node_count);
}

/// Guards against nodes that come back to an evacuation that was withdrawn while all were down.
TEST(evacuation, a_withdrawal_while_all_nodes_are_down_is_in_force_when_they_are_back) {
    auto fleet = start_fleet();
    fleet.write(milan_key, "{}");
    fleet.run(seconds{1});
    std::for_each(fleet.nodes.begin(), fleet.nodes.end(), [](auto& node) { node.reset(); });
    fleet.erase(milan_key);
    fleet.run(seconds{1});
    for (std::size_t node = 0; node < node_count; ++node) {
        fleet.start(node);
    }
    fleet.run(seconds{4});
    EXPECT_EQ(fleet.count_ready(), node_count);
    EXPECT_EQ(count_evacuated(fleet), 0U);
}

TEST(evacuation, a_withdrawal_in_a_gap_of_all_watches_is_in_force_within_a_check) {
    auto fleet = start_fleet();
    fleet.write(milan_key, "{}");
    fleet.run(seconds{1});
    fleet.store.watches.clear();
    fleet.erase(milan_key);
    fakes::compact(fleet.store);
    fleet.run(seconds{8});
    EXPECT_EQ(count_evacuated(fleet), 0U);
}

TEST(evacuation, an_older_copy_of_the_store_that_lacks_it_takes_nothing_back) {
    auto fleet = start_fleet();
    fleet.store.era = 1;
    fleet.run(seconds{6});
    const auto copy = fakes::save(fleet.store);
    fleet.write(milan_key, "{}");
    fleet.run(seconds{1});
    fakes::restore_in_new_era(fleet.store, copy, fleet.now);
    for (int step = 0; step < 40; ++step) {
        fleet.run(milliseconds{100});
        ASSERT_EQ(count_evacuated(fleet), node_count) << step;
    }
    fleet.write(milan_key, "{}");
    fleet.run(seconds{15});
    EXPECT_EQ(count_evacuated(fleet), node_count);
    fleet.erase(milan_key);
    fleet.run(seconds{1});
    EXPECT_EQ(count_evacuated(fleet), 0U);
}

TEST(evacuation, reaches_the_call_path_and_spares_other_data_centres) {
    auto fleet = start_fleet();
    msg::upstream_record_msg upstream;
    upstream.service = "ledger";
    upstream.version = "v1";
    upstream.state = msg::upstream_state::ready;
    upstream.slots = 4;
    fleet.announce(0, upstream);
    fleet.write("op/evacuate/unknown", "{}");
    fleet.run(seconds{1});
    const auto takes = [&] {
        const auto view = make_routing_view(*fleet.nodes[1], fleet.now);
        const auto& endpoints = view.endpoints.at(service_id("ledger"));
        return std::count_if(endpoints.begin(), endpoints.end(), call::takes_calls);
    };
    EXPECT_EQ(takes(), 1);
    fleet.write(milan_key, "{}");
    fleet.run(seconds{1});
    EXPECT_EQ(takes(), 0);
    EXPECT_TRUE(make_routing_view(*fleet.nodes[1], fleet.now).is_ready);
}

/// Guards against stages of a move that count on endpoints which get no calls.
TEST(evacuation, endpoints_of_an_evacuated_data_centre_are_not_ready_for_a_move) {
    auto fleet = start_fleet();
    msg::upstream_record_msg upstream;
    upstream.service = "ledger";
    upstream.version = "v2";
    upstream.state = msg::upstream_state::ready;
    upstream.slots = 4;
    fleet.announce(0, upstream);
    fleet.write(order_key, "v2");
    fleet.run(seconds{1});
    const auto ready_slots = [&] {
        return fleet.nodes[1]->moves.open.begin()->second.current_topology.ready.on_new;
    };
    ASSERT_EQ(fleet.nodes[1]->moves.open.size(), 1U);
    EXPECT_EQ(ready_slots(), 4U);
    fleet.write(milan_key, "{}");
    fleet.run(seconds{1});
    EXPECT_EQ(ready_slots(), 0U);
    fleet.erase(milan_key);
    fleet.run(seconds{1});
    EXPECT_EQ(ready_slots(), 4U);
}

} // namespace
} // namespace cyclamenhatch::control
