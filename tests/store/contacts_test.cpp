#include "test_cluster.h"

#include <functional>
#include <gtest/gtest.h>

namespace cyclamenhatch::store {
namespace {

/// One node whose contact entry is stored.
test_cluster make_contact_cluster() {
    auto cluster = make_cluster(1);
    cluster.nodes[0].has_contact_duty = true;
    run(cluster, milliseconds{300});
    return cluster;
}

bool has_entry(const test_cluster& cluster) {
    return cluster.store.entries.count(contact_key(test_prefix, "n0")) > 0;
}

struct contact_row {
    const char* name;
    std::function<void(test_cluster&)> fault;
    milliseconds time;
    bool is_present;
};

class contact_fault : public testing::TestWithParam<contact_row> {};

TEST_P(contact_fault, is_overcome) {
    auto cluster = make_contact_cluster();
    ASSERT_TRUE(has_entry(cluster));
    GetParam().fault(cluster);
    run(cluster, GetParam().time);
    EXPECT_EQ(has_entry(cluster), GetParam().is_present);
}

void nothing(test_cluster& /*cluster*/) {}
void lapse(test_cluster& cluster) {
    fakes::lapse_leases(cluster.store, cluster.now);
}
void lose_duty(test_cluster& cluster) {
    cluster.nodes[0].has_contact_duty = false;
}

/// No tick for longer than the lease, as in a paused process.
void pause(test_cluster& cluster) {
    cluster.now += seconds{120};
    static_cast<void>(fakes::advance(cluster.store, cluster.now));
}

void go_down_past_the_lease(test_cluster& cluster) {
    fakes::set_down(cluster.store, true, cluster.now);
    run(cluster, seconds{40});
    EXPECT_FALSE(has_entry(cluster));
    fakes::set_down(cluster.store, false, cluster.now);
}

void leave_orderly(test_cluster& cluster) {
    contact_actions actions;
    leave(cluster.nodes[0].keeper, actions);
    carry_out(cluster, cluster.nodes[0], std::move(actions));
    cluster.nodes[0].has_contact_duty = false;
}

/// The process ends without removing its entry.
void end_process(test_cluster& cluster) {
    cluster.nodes.clear();
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
    auto cluster = make_contact_cluster();
    const auto writes = cluster.store.writes;
    run(cluster, seconds{100});
    EXPECT_GE(cluster.store.writes, writes + 7);
    EXPECT_LE(cluster.store.writes, writes + 14);
}

TEST(contact_keeper, finds_others_but_not_itself_nor_malformed_addresses) {
    auto cluster = make_contact_cluster();
    kv_transaction put;
    put.puts = {{contact_key(test_prefix, "n7"), "10.0.0.7:7400"},
                {contact_key(test_prefix, "n8"), "10.0.0.8:0"},
                {contact_key(test_prefix, "n9"), "somewhere"}};
    fakes::send(cluster.store, "other", {1, put}, cluster.now);
    cluster.nodes[0].needs_contacts = true;
    run(cluster, milliseconds{900});
    ASSERT_EQ(cluster.nodes[0].contacts.size(), 1U);
    EXPECT_EQ(cluster.nodes[0].contacts[0], (peer_address{"10.0.0.7", 7400}));
}

TEST(contact_keeper, backs_off_its_reads_during_an_outage) {
    auto cluster = make_cluster(1);
    cluster.store.faults.is_silent = true;
    cluster.nodes[0].needs_contacts = true;
    std::size_t requests = 0;
    for (int i = 0; i < 60; ++i) {
        const auto before = cluster.nodes[0].keeper.next_request;
        run(cluster, seconds{1});
        requests += cluster.nodes[0].keeper.next_request - before;
    }
    EXPECT_GE(requests, 4U);
    EXPECT_LE(requests, 14U);
}

} // namespace
} // namespace cyclamenhatch::store
