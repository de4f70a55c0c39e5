#include "store_world.h"

#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::store {
namespace {

constexpr std::size_t writing_node = 1;

/// A world in which the second node has written version 1 and the first one watches.
store_world make_watched_world() {
    auto world = make_world(2);
    submit(world, writing_node, "first", make_service_write("layouts"));
    run(world, milliseconds{200});
    reader_actions actions;
    set_watching(world.nodes[0].reader, true, world.now, actions);
    carry_out(world, world.nodes[0], std::move(actions));
    run(world, milliseconds{200});
    return world;
}

/// A fault of the watch, and the time in which a version written right after it must be found.
struct reader_row {
    const char* name;
    std::function<void(store_world&)> fault;
    std::function<void(store_world&)> later;
    milliseconds found_within;
};

class reader_fault : public testing::TestWithParam<reader_row> {};

TEST_P(reader_fault, is_overcome) {
    auto world = make_watched_world();
    ASSERT_EQ(world.nodes[0].snapshots.back()->version.value, 1U);
    GetParam().fault(world);
    submit(world, writing_node, "op", make_version_write("layouts", "v2"));
    run(world, milliseconds{500});
    GetParam().later(world);
    run(world, GetParam().found_within);
    EXPECT_EQ(world.nodes[0].snapshots.back()->version.value, 2U);
    EXPECT_TRUE(world.nodes[0].reader.is_watching);
    EXPECT_FALSE(world.nodes[0].reader.service.is_down);
    submit(world, writing_node, "again", make_version_write("layouts", "v4"));
    run(world, milliseconds{300});
    EXPECT_EQ(world.nodes[0].snapshots.back()->version.value, 3U);
    EXPECT_EQ(world.nodes[0].snapshots.back()->sections.begin()->second->content.versions.size(),
              3U);
}

void nothing(store_world& /*world*/) {}
void close_watches(store_world& world) {
    fakes::close_watches(world.store, world.now);
}

/// The watch is closed, and the store compacts the changes that it missed.
void close_and_compact(store_world& world) {
    world.store.faults.request_delay = milliseconds{50};
    submit(world, writing_node, "before", make_version_write("layouts", "v3"));
    close_watches(world);
    run(world, milliseconds{60});
    fakes::compact(world.store);
    world.store.faults = {};
}

/// The watch stops reporting, without an error, while other requests work.
void silence_watch(store_world& world) {
    world.store.watches.clear();
}

void go_down(store_world& world) {
    fakes::set_down(world.store, true, world.now);
    run(world, milliseconds{3000});
    EXPECT_TRUE(world.nodes[0].reader.service.is_down);
    fakes::set_down(world.store, false, world.now);
}

/// A backup is restored, so revisions repeat. The writer is replaced by one without any state.
void restore_backup(store_world& world) {
    const auto saved = fakes::save(world.store);
    for (const auto* name : {"v5", "v6", "v7"}) {
        submit(world, writing_node, name, make_version_write("layouts", name));
        run(world, milliseconds{300});
    }
    fakes::restore(world.store, saved, world.now);
    world.nodes[writing_node].writer = make_config_writer({.prefix = test_prefix}, world.now);
    world.nodes[writing_node].writer.next_request += 1000;
}

void lose_answers(store_world& world) {
    world.store.faults.loses_answers = true;
}
void heal(store_world& world) {
    world.store.faults = {};
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
    auto world = make_watched_world();
    close_and_compact(world);
    submit(world, writing_node, "op", make_version_write("layouts", "v2"));
    run(world, milliseconds{2000});
    EXPECT_EQ(world.nodes[0].snapshots.back()->version.value, 3U);
    EXPECT_TRUE(world.nodes[0].reader.is_watching);
}

/// Sections are deleted by a newer head between the reads of the head and of its sections.
TEST(head_reader, reads_the_head_again_when_its_sections_were_replaced) {
    auto world = make_world(2);
    submit(world, writing_node, "first", make_service_write("layouts"));
    run(world, milliseconds{200});
    reader_actions actions;
    refresh(world.nodes[0].reader, world.now, actions);
    carry_out(world, world.nodes[0], std::move(actions));
    submit(world, writing_node, "op", make_version_write("layouts", "v2"));
    // The read of the head arrives with the swap, the read of the section after it.
    run(world, milliseconds{1000});
    ASSERT_FALSE(world.nodes[0].snapshots.empty());
    EXPECT_EQ(world.nodes[0].snapshots.back()->version.value, 2U);
}

TEST(head_reader, rejects_a_head_whose_configuration_is_invalid) {
    auto world = make_watched_world();
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
    fakes::send(world.store, "operator", {1, put}, world.now);
    run(world, milliseconds{300});
    ASSERT_EQ(world.nodes[0].rejected_versions.size(), 1U);
    EXPECT_EQ(world.nodes[0].rejected_versions[0].value, 7U);
    EXPECT_EQ(world.nodes[0].snapshots.back()->version.value, 1U);
    run(world, milliseconds{30'000});
    EXPECT_EQ(world.nodes[0].rejected_versions.size(), 1U);
}

TEST(head_reader, rejects_a_section_that_does_not_match_its_digest) {
    auto world = make_watched_world();
    stored_head head;
    head.version = config_version{7};
    head.entries.emplace(service_id{"layouts"}, digest_id{"abc"});
    kv_transaction put;
    put.puts = {{section_key(test_prefix, digest_id{"abc"}), "damaged"},
                {head_key(test_prefix), encode_head(head)}};
    fakes::send(world.store, "operator", {1, put}, world.now);
    run(world, milliseconds{300});
    ASSERT_EQ(world.nodes[0].rejected_versions.size(), 1U);
    EXPECT_EQ(world.nodes[0].snapshots.back()->version.value, 1U);
}

TEST(head_reader, reports_the_local_configuration_as_current_after_a_refresh) {
    auto world = make_watched_world();
    const auto before = world.nodes[0].current_reports;
    reader_actions actions;
    refresh(world.nodes[0].reader, world.now, actions);
    carry_out(world, world.nodes[0], std::move(actions));
    run(world, milliseconds{300});
    EXPECT_EQ(world.nodes[0].current_reports, before + 1);
    ASSERT_EQ(world.nodes[0].snapshots.size(), 2U);
    EXPECT_EQ(world.nodes[0].snapshots[0], world.nodes[0].snapshots[1]);
}

TEST(head_reader, fetches_only_what_it_lacks) {
    auto world = make_world(2);
    resource_write write;
    for (int i = 0; i < 6; ++i) {
        const auto service_write = make_service_write("s" + std::to_string(i));
        write.services.push_back(service_write.services[0]);
        write.versions.push_back(service_write.versions[0]);
    }
    submit(world, writing_node, "first", write);
    run(world, milliseconds{200});
    reader_actions actions;
    set_watching(world.nodes[0].reader, true, world.now, actions);
    carry_out(world, world.nodes[0], std::move(actions));
    run(world, milliseconds{300});
    // The head, all sections in one read, and the watch.
    const auto reads = world.store.reads;
    submit(world, writing_node, "op", make_version_write("s3", "v2"));
    run(world, milliseconds{300});
    EXPECT_EQ(world.store.reads, reads + 1);
    const auto& snapshots = world.nodes[0].snapshots;
    ASSERT_EQ(snapshots.size(), 2U);
    EXPECT_EQ(snapshots[0]->sections.at(service_id{"s1"}),
              snapshots[1]->sections.at(service_id{"s1"}));
}

/// After any sequence of store faults, a watching node has the newest head, within a bounded number
/// of reads.
RC_GTEST_PROP(head_reader, ends_with_the_newest_head, ()) {
    auto world = make_watched_world();
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 900)));
    const std::vector<std::function<void(store_world&)>> fault_actions = {
        close_watches,
        silence_watch,
        lose_answers,
        heal,
        [](store_world& target) { fakes::compact(target.store); },
        [](store_world& target) { target.store.faults.is_silent = true; }};
    int number = 0;
    const instant begin = world.now;
    for (const auto& [action, wait] : steps) {
        fault_actions[static_cast<std::size_t>(action)](world);
        const auto name = "v" + std::to_string(10 + number++);
        submit(world, writing_node, name, make_version_write("layouts", name));
        run(world, milliseconds{wait});
    }
    world.store.faults = {};
    run(world, milliseconds{30'000});
    const auto newest = world.nodes[writing_node].writer.local_snapshot->version;
    RC_ASSERT(world.nodes[0].snapshots.back()->version >= newest);
    for (std::size_t i = 1; i < world.nodes[0].snapshots.size(); ++i) {
        RC_ASSERT(world.nodes[0].snapshots[i - 1]->version <= world.nodes[0].snapshots[i]->version);
    }
    const auto seconds_passed = (to_unix_ms(world.now) - to_unix_ms(begin)) / 1000;
    RC_ASSERT(world.store.reads <= 10 * static_cast<std::uint64_t>(seconds_passed + 2));
}

} // namespace
} // namespace cyclamenhatch::store
