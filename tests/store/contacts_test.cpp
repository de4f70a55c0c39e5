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

void put_contact(test_cluster& cluster, const std::string& name, const std::string& value) {
    kv_transaction put;
    put.puts = {{contact_key(test_prefix, name), value}};
    fakes::send(cluster.store, "other", {1, put}, cluster.now);
}

std::size_t count_logged(const test_cluster& cluster) {
    return cluster.nodes[0].lines.size();
}

struct odd_contact_row {
    const char* name;
    std::string value;
};

class odd_contact : public testing::TestWithParam<odd_contact_row> {};

/// Guards against odd entries of another writer that count as contacts: they end the search, or
/// keep a node that knows no other from publishing its own entry.
TEST_P(odd_contact, names_no_node_and_the_others_hold) {
    auto cluster = make_cluster(1);
    put_contact(cluster, "n7", GetParam().value);
    put_contact(cluster, "n8", GetParam().value);
    put_contact(cluster, "n9", "10.0.0.9:7400");
    cluster.nodes[0].needs_contacts = true;
    run(cluster, seconds{2});
    ASSERT_FALSE(cluster.nodes[0].contacts.empty());
    for (const auto& contact : cluster.nodes[0].contacts) {
        EXPECT_EQ(contact, (peer_address{"10.0.0.9", 7400}));
    }
    EXPECT_TRUE(has_entry(cluster)) << "there are fewer than two others";
}

/// Guards against an odd entry that nobody learns of, and against a line for each read of it.
TEST_P(odd_contact, is_logged_once) {
    auto cluster = make_cluster(1);
    put_contact(cluster, "n7", GetParam().value);
    cluster.nodes[0].needs_contacts = true;
    run(cluster, seconds{20});
    ASSERT_EQ(count_logged(cluster), 1U);
    EXPECT_EQ(cluster.nodes[0].lines[0].find("event=contact_refused key=/test/contact/n7 "), 0U)
        << cluster.nodes[0].lines[0];
    EXPECT_LT(cluster.nodes[0].lines[0].size(), 300U);
    put_contact(cluster, "n7", GetParam().value);
    run(cluster, seconds{20});
    EXPECT_EQ(count_logged(cluster), 2U) << "it was written once more";
}

INSTANTIATE_TEST_SUITE_P(
    table, odd_contact,
    testing::Values(odd_contact_row{"empty", ""}, odd_contact_row{"no_port", "10.0.0.7"},
                    odd_contact_row{"empty_port", "10.0.0.7:"},
                    odd_contact_row{"port_zero", "10.0.0.7:0"},
                    odd_contact_row{"port_beyond_range", "10.0.0.7:65536"},
                    odd_contact_row{"port_far_beyond_range", "10.0.0.7:99999999999999999999"},
                    odd_contact_row{"port_below_zero", "10.0.0.7:-1"},
                    odd_contact_row{"port_with_text", "10.0.0.7:80x"},
                    odd_contact_row{"port_as_a_fraction", "10.0.0.7:1e3"},
                    odd_contact_row{"no_host", ":7400"}, odd_contact_row{"empty_host", "[]:7400"},
                    odd_contact_row{"open_bracket", "[:7400"},
                    odd_contact_row{"host_is_no_ip", "nowhere:7400"},
                    odd_contact_row{"no_utf8", "\xe2\x82:7400"},
                    odd_contact_row{"zero_byte", std::string("10.0.0.7\0:7400", 14)},
                    odd_contact_row{"nested", std::string(100'000, '[')},
                    odd_contact_row{"long", std::string(1'000'000, '1') + ":7400"}),
    [](const auto& row) { return std::string(row.param.name); });

/// Guards against memory and lines without end for very many odd entries.
TEST(contact_keeper, logs_a_bounded_number_of_odd_entries) {
    auto cluster = make_cluster(1);
    for (int i = 0; i < 400; ++i) {
        put_contact(cluster, "odd" + std::to_string(i), "nowhere");
    }
    cluster.nodes[0].needs_contacts = true;
    run(cluster, seconds{20});
    EXPECT_EQ(count_logged(cluster), 16U);
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
