#include "test_cluster.h"

#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::store {
namespace {

constexpr std::size_t writing_node = 1;

/// A cluster in which the second node has written version 1 and the first one watches.
test_cluster make_watched_cluster() {
    auto cluster = make_cluster(2);
    submit(cluster, writing_node, "first", make_service_write("layouts"));
    run(cluster, milliseconds{200});
    reader_actions actions;
    set_watching(cluster.nodes[0].reader, true, cluster.now, actions);
    carry_out(cluster, cluster.nodes[0], std::move(actions));
    run(cluster, milliseconds{200});
    return cluster;
}

/// A fault of the watch, and the time in which a version written right after it must be found.
struct reader_row {
    const char* name;
    std::function<void(test_cluster&)> fault;
    std::function<void(test_cluster&)> later;
    milliseconds found_within;
};

class reader_fault : public testing::TestWithParam<reader_row> {};

TEST_P(reader_fault, is_overcome) {
    auto cluster = make_watched_cluster();
    ASSERT_EQ(cluster.nodes[0].snapshots.back()->version.value, 1U);
    GetParam().fault(cluster);
    submit(cluster, writing_node, "op", make_version_write("layouts", "v2"));
    run(cluster, milliseconds{500});
    GetParam().later(cluster);
    run(cluster, GetParam().found_within);
    EXPECT_EQ(cluster.nodes[0].snapshots.back()->version.value, 2U);
    EXPECT_TRUE(cluster.nodes[0].reader.is_watching);
    EXPECT_FALSE(cluster.nodes[0].reader.service.is_down);
    submit(cluster, writing_node, "again", make_version_write("layouts", "v4"));
    run(cluster, milliseconds{300});
    EXPECT_EQ(cluster.nodes[0].snapshots.back()->version.value, 3U);
    EXPECT_EQ(cluster.nodes[0].snapshots.back()->sections.begin()->second->content.versions.size(),
              3U);
}

void nothing(test_cluster& /*cluster*/) {}
void close_watches(test_cluster& cluster) {
    fakes::close_watches(cluster.store, cluster.now);
}

/// The watch is closed, and the store compacts the changes that it missed.
void close_and_compact(test_cluster& cluster) {
    cluster.store.faults.request_delay = milliseconds{50};
    submit(cluster, writing_node, "before", make_version_write("layouts", "v3"));
    close_watches(cluster);
    run(cluster, milliseconds{60});
    fakes::compact(cluster.store);
    cluster.store.faults = {};
}

/// The watch stops reporting, without an error, while other requests work.
void silence_watch(test_cluster& cluster) {
    cluster.store.watches.clear();
}

void go_down(test_cluster& cluster) {
    fakes::set_down(cluster.store, true, cluster.now);
    run(cluster, milliseconds{3000});
    EXPECT_TRUE(cluster.nodes[0].reader.service.is_down);
    fakes::set_down(cluster.store, false, cluster.now);
}

/// A backup is restored, so revisions repeat. The writer is replaced by one without any state.
void restore_backup(test_cluster& cluster) {
    const auto saved = fakes::save(cluster.store);
    for (const auto* name : {"v5", "v6", "v7"}) {
        submit(cluster, writing_node, name, make_version_write("layouts", name));
        run(cluster, milliseconds{300});
    }
    fakes::restore(cluster.store, saved, cluster.now);
    cluster.nodes[writing_node].writer = make_config_writer({.prefix = test_prefix}, cluster.now);
    cluster.nodes[writing_node].writer.next_request += 1000;
}

void lose_answers(test_cluster& cluster) {
    cluster.store.faults.loses_answers = true;
}
void heal(test_cluster& cluster) {
    cluster.store.faults = {};
}

const std::vector<reader_row> reader_faults = {
    {"no_fault", nothing, nothing, milliseconds{1}},
    {"watch_closed", close_watches, nothing, milliseconds{500}},
    {"watch_silent", silence_watch, nothing, milliseconds{13'000}},
    {"store_down_for_a_while", go_down, nothing, milliseconds{4000}},
    {"backup_restored", restore_backup, nothing, milliseconds{13'000}},
    {"section_read_lost", lose_answers, heal, milliseconds{3000}},
};

INSTANTIATE_TEST_SUITE_P(table, reader_fault, testing::ValuesIn(reader_faults),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(head_reader, reads_again_after_compaction) {
    auto cluster = make_watched_cluster();
    close_and_compact(cluster);
    submit(cluster, writing_node, "op", make_version_write("layouts", "v2"));
    run(cluster, milliseconds{2000});
    EXPECT_EQ(cluster.nodes[0].snapshots.back()->version.value, 3U);
    EXPECT_TRUE(cluster.nodes[0].reader.is_watching);
}

/// Sections are deleted by a newer head between the reads of the head and of its sections.
TEST(head_reader, reads_the_head_again_when_its_sections_were_replaced) {
    auto cluster = make_cluster(2);
    submit(cluster, writing_node, "first", make_service_write("layouts"));
    run(cluster, milliseconds{200});
    reader_actions actions;
    refresh(cluster.nodes[0].reader, cluster.now, actions);
    carry_out(cluster, cluster.nodes[0], std::move(actions));
    submit(cluster, writing_node, "op", make_version_write("layouts", "v2"));
    // The read of the head arrives with the swap, the read of the section after it.
    run(cluster, milliseconds{1000});
    ASSERT_FALSE(cluster.nodes[0].snapshots.empty());
    EXPECT_EQ(cluster.nodes[0].snapshots.back()->version.value, 2U);
}

TEST(head_reader, rejects_a_head_whose_configuration_is_invalid) {
    auto cluster = make_watched_cluster();
    section dangling;
    dangling.service = {
        .name = service_id{"layouts"}, .owner = owner_id{"shops"}, .version = version_id{"absent"}};
    const auto stored = make_stored_section(dangling);
    stored_head head;
    head.version = config_version{7};
    head.entries.emplace(service_id{"layouts"}, stored->digest);
    kv_transaction put;
    put.puts = {{section_key(test_prefix, stored->digest), stored->encoded},
                {head_key(test_prefix), encode_head(head)}};
    fakes::send(cluster.store, "operator", {1, put}, cluster.now);
    run(cluster, milliseconds{300});
    ASSERT_EQ(cluster.nodes[0].rejected_versions.size(), 1U);
    EXPECT_EQ(cluster.nodes[0].rejected_versions[0].value, 7U);
    EXPECT_EQ(cluster.nodes[0].snapshots.back()->version.value, 1U);
    run(cluster, milliseconds{30'000});
    EXPECT_EQ(cluster.nodes[0].rejected_versions.size(), 1U);
}

TEST(head_reader, rejects_a_section_that_does_not_match_its_digest) {
    auto cluster = make_watched_cluster();
    stored_head head;
    head.version = config_version{7};
    head.entries.emplace(service_id{"layouts"}, digest_id{"abc"});
    kv_transaction put;
    put.puts = {{section_key(test_prefix, digest_id{"abc"}), "damaged"},
                {head_key(test_prefix), encode_head(head)}};
    fakes::send(cluster.store, "operator", {1, put}, cluster.now);
    run(cluster, milliseconds{300});
    ASSERT_EQ(cluster.nodes[0].rejected_versions.size(), 1U);
    EXPECT_EQ(cluster.nodes[0].snapshots.back()->version.value, 1U);
}

TEST(head_reader, reports_the_local_configuration_as_current_after_a_refresh) {
    auto cluster = make_watched_cluster();
    const auto before = cluster.nodes[0].current_reports;
    reader_actions actions;
    refresh(cluster.nodes[0].reader, cluster.now, actions);
    carry_out(cluster, cluster.nodes[0], std::move(actions));
    run(cluster, milliseconds{300});
    EXPECT_EQ(cluster.nodes[0].current_reports, before + 1);
    ASSERT_EQ(cluster.nodes[0].snapshots.size(), 2U);
    EXPECT_EQ(cluster.nodes[0].snapshots[0], cluster.nodes[0].snapshots[1]);
}

TEST(head_reader, fetches_only_what_it_lacks) {
    auto cluster = make_cluster(2);
    resource_write write;
    for (int i = 0; i < 6; ++i) {
        const auto service_write = make_service_write("s" + std::to_string(i));
        write.services.push_back(service_write.services[0]);
        write.versions.push_back(service_write.versions[0]);
    }
    submit(cluster, writing_node, "first", write);
    run(cluster, milliseconds{200});
    reader_actions actions;
    set_watching(cluster.nodes[0].reader, true, cluster.now, actions);
    carry_out(cluster, cluster.nodes[0], std::move(actions));
    run(cluster, milliseconds{300});
    // The head, all sections in one read, and the watch.
    const auto reads = cluster.store.reads;
    submit(cluster, writing_node, "op", make_version_write("s3", "v2"));
    run(cluster, milliseconds{300});
    EXPECT_EQ(cluster.store.reads, reads + 1);
    const auto& snapshots = cluster.nodes[0].snapshots;
    ASSERT_EQ(snapshots.size(), 2U);
    EXPECT_EQ(snapshots[0]->sections.at(service_id{"s1"}),
              snapshots[1]->sections.at(service_id{"s1"}));
}

/// After any sequence of store faults, a watching node has the newest head, within a bounded number
/// of reads.
RC_GTEST_PROP(head_reader, ends_with_the_newest_head, ()) {
    auto cluster = make_watched_cluster();
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 900)));
    const std::vector<std::function<void(test_cluster&)>> fault_actions = {
        close_watches,
        silence_watch,
        lose_answers,
        heal,
        [](test_cluster& target) { fakes::compact(target.store); },
        [](test_cluster& target) { target.store.faults.is_silent = true; }};
    int number = 0;
    const instant begin = cluster.now;
    for (const auto& [action, wait] : steps) {
        fault_actions[static_cast<std::size_t>(action)](cluster);
        const auto name = "v" + std::to_string(10 + number++);
        submit(cluster, writing_node, name, make_version_write("layouts", name));
        run(cluster, milliseconds{wait});
    }
    cluster.store.faults = {};
    run(cluster, milliseconds{30'000});
    const auto newest = cluster.nodes[writing_node].writer.local_snapshot->version;
    RC_ASSERT(cluster.nodes[0].snapshots.back()->version >= newest);
    for (std::size_t i = 1; i < cluster.nodes[0].snapshots.size(); ++i) {
        RC_ASSERT(cluster.nodes[0].snapshots[i - 1]->version <=
                  cluster.nodes[0].snapshots[i]->version);
    }
    const auto seconds_passed = (to_unix_ms(cluster.now) - to_unix_ms(begin)) / 1000;
    RC_ASSERT(cluster.store.reads <= 10 * static_cast<std::uint64_t>(seconds_passed + 2));
}

} // namespace
} // namespace cyclamenhatch::store
