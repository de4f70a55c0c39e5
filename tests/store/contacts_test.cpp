#include "store_world.h"

#include <functional>
#include <gtest/gtest.h>

namespace cyclamenhatch::store {
namespace {

/// One node whose contact entry is stored.
store_world make_contact_world() {
    auto world = make_world(1);
    world.nodes[0].has_contact_duty = true;
    run(world, milliseconds{300});
    return world;
}

bool has_entry(const store_world& world) {
    return world.store.entries.count(contact_key(test_prefix, "n0")) > 0;
}

struct contact_row {
    const char* name;
    std::function<void(store_world&)> fault;
    milliseconds time;
    bool is_present;
};

class contact_fault : public testing::TestWithParam<contact_row> {};

TEST_P(contact_fault, is_overcome) {
    auto world = make_contact_world();
    ASSERT_TRUE(has_entry(world));
    GetParam().fault(world);
    run(world, GetParam().time);
    EXPECT_EQ(has_entry(world), GetParam().is_present);
}

void nothing(store_world& /*world*/) {}
void lapse(store_world& world) {
    fakes::lapse_leases(world.store, world.now);
}
void lose_duty(store_world& world) {
    world.nodes[0].has_contact_duty = false;
}

/// No tick for longer than the lease, as in a paused process.
void pause(store_world& world) {
    world.now += seconds{120};
    static_cast<void>(fakes::advance(world.store, world.now));
}

void go_down_past_the_lease(store_world& world) {
    fakes::set_down(world.store, true, world.now);
    run(world, seconds{40});
    EXPECT_FALSE(has_entry(world));
    fakes::set_down(world.store, false, world.now);
}

void leave_orderly(store_world& world) {
    contact_actions actions;
    leave(world.nodes[0].keeper, actions);
    carry_out(world, world.nodes[0], std::move(actions));
    world.nodes[0].has_contact_duty = false;
}

/// The process ends without removing its entry.
void end_process(store_world& world) {
    world.nodes.clear();
}

const std::vector<contact_row> contact_faults = {
    {"renewed", nothing, seconds{100}, true},
    {"lease_lapsed", lapse, seconds{15}, true},
    {"paused_past_the_lease", pause, seconds{1}, true},
    {"store_down_past_the_lease", go_down_past_the_lease, seconds{20}, true},
    {"duty_lost", lose_duty, seconds{15}, false},
    {"left", leave_orderly, milliseconds{10}, false},
    {"died", end_process, seconds{31}, false},
};

INSTANTIATE_TEST_SUITE_P(table, contact_fault, testing::ValuesIn(contact_faults),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(contact_keeper, renews_at_a_third_of_the_lease) {
    auto world = make_contact_world();
    const auto writes = world.store.writes;
    run(world, seconds{100});
    EXPECT_GE(world.store.writes, writes + 7);
    EXPECT_LE(world.store.writes, writes + 14);
}

TEST(contact_keeper, finds_others_but_not_itself_nor_malformed_addresses) {
    auto world = make_contact_world();
    kv_transaction put;
    put.puts = {{contact_key(test_prefix, "n7"), "10.0.0.7:7400"},
                {contact_key(test_prefix, "n8"), "10.0.0.8:0"},
                {contact_key(test_prefix, "n9"), "somewhere"}};
    fakes::send(world.store, "other", {1, put}, world.now);
    world.nodes[0].needs_contacts = true;
    run(world, milliseconds{900});
    ASSERT_EQ(world.nodes[0].contacts.size(), 1U);
    EXPECT_EQ(world.nodes[0].contacts[0], (peer_address{"10.0.0.7", 7400}));
}

TEST(contact_keeper, backs_off_its_reads_during_an_outage) {
    auto world = make_world(1);
    world.store.faults.is_silent = true;
    world.nodes[0].needs_contacts = true;
    std::size_t requests = 0;
    for (int i = 0; i < 60; ++i) {
        const auto before = world.nodes[0].keeper.next_request;
        run(world, seconds{1});
        requests += world.nodes[0].keeper.next_request - before;
    }
    EXPECT_GE(requests, 4U);
    EXPECT_LE(requests, 14U);
}

} // namespace
} // namespace cyclamenhatch::store
