#include "feed/feed_fixture.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::feed {
namespace {

using namespace testing;

constexpr seconds longer_than_a_check{7};
constexpr const char* milan = "op/evacuate/milan";

/// A reader that watches and has built a configuration with milan evacuated, which is in force.
struct evacuated_fixture : reader_fixture {
    evacuated_fixture() {
        store.put("op/document", "/first/");
        store.put(milan, "{}");
        start_watching();
        note_held(reader, snapshot, now);
    }
};

TEST(evacuation, is_in_the_configuration_with_the_revision_of_its_write) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    fixture.store.put(milan, "{}");
    fixture.deliver_change(milan);
    EXPECT_EQ(fixture.evacuated(), "milan ");
    EXPECT_EQ(fixture.snapshot->version.value, 12U);
    EXPECT_TRUE(is_evacuated(*fixture.snapshot, data_centre_id("milan")));
    fixture.store.put("op/evacuate/bergamo", "{}");
    fixture.deliver_change("op/evacuate/bergamo");
    EXPECT_EQ(fixture.evacuated(), "bergamo milan ");
}

TEST(evacuation, a_withdrawal_is_a_newer_version_with_the_revision_of_the_deletion) {
    evacuated_fixture fixture;
    fixture.erase_watched(milan);
    EXPECT_EQ(fixture.evacuated(), "");
    EXPECT_EQ(fixture.snapshot->version.value, 13U);
    fixture.store.put("op/document", "/second/");
    fixture.deliver_change("op/document");
    EXPECT_EQ(fixture.evacuated(), "");
    EXPECT_EQ(fixture.snapshot->version.value, 14U);
}

/// Guards against a withdrawal that falls into a gap of the watch.
TEST(evacuation, a_withdrawal_that_only_a_read_shows_takes_the_revision_of_the_read) {
    evacuated_fixture fixture;
    fixture.store.erase(milan);
    fixture.store.put("elsewhere", "x");
    fixture.tick(longer_than_a_check);
    EXPECT_EQ(fixture.evacuated(), "");
    EXPECT_EQ(fixture.snapshot->version.value, 14U);
    note_held(fixture.reader, fixture.snapshot, fixture.now);
    // Reads that show nothing else raise no version.
    fixture.store.put("elsewhere", "y");
    fixture.tick(longer_than_a_check);
    EXPECT_EQ(fixture.snapshot->version.value, 14U);
}

TEST(evacuation, a_withdrawal_is_seen_after_the_history_is_compacted) {
    evacuated_fixture fixture;
    fixture.store.erase(milan);
    fixture.respond({fixture.watch, store::kv_failure{store::kv_failure_kind::compacted, "410"}});
    EXPECT_EQ(fixture.evacuated(), "");
    EXPECT_EQ(fixture.snapshot->version.value, 13U);
}

/// A node that takes over the watch has built nothing, but holds what others have built.
TEST(evacuation, a_withdrawal_before_the_first_read_is_newer_than_what_is_held) {
    evacuated_fixture earlier;
    reader_fixture fixture;
    fixture.store = earlier.store;
    fixture.store.erase(milan);
    note_held(fixture.reader, earlier.snapshot, fixture.now);
    fixture.start_watching();
    EXPECT_EQ(fixture.evacuated(), "");
    EXPECT_GT(fixture.snapshot->version, earlier.snapshot->version);
}

/// Guards against two contents under one version: a withdrawal older than the newest item.
TEST(evacuation, readers_by_watch_and_by_read_never_differ_under_one_version) {
    evacuated_fixture by_watch;
    evacuated_fixture by_read;
    for (auto* fixture : {&by_watch, &by_read}) {
        fixture->store.erase(milan);
        fixture->store.put("op/document", "/second/");
    }
    by_watch.respond(
        {by_watch.watch,
         store::kv_changes{
             14, {{{milan, "", 13}, true}, {by_watch.store.items.at("op/document"), false}}}});
    by_read.tick(longer_than_a_check);
    ASSERT_EQ(by_watch.snapshot->version, by_read.snapshot->version);
    EXPECT_EQ(by_watch.snapshot->digest, by_read.snapshot->digest);
}

TEST(evacuation, names_that_no_data_centre_can_have_are_ignored_one_by_one_and_logged_once) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.store.put(milan, "{}");
    fixture.store.put("op/evacuate/", "{}");
    fixture.store.put("op/evacuate/a/b", "{}");
    fixture.store.put("op/evacuate/" + std::string(500, 'x'), "{}");
    fixture.start_watching();
    EXPECT_EQ(fixture.evacuated(), "milan ");
    EXPECT_EQ(fixture.snapshot->version.value, 12U);
    EXPECT_EQ(fixture.logs.size(), 3U);
    fixture.tick(longer_than_a_check);
    EXPECT_EQ(fixture.logs.size(), 3U);
    EXPECT_TRUE(fixture.rejection_reasons.empty());
}

TEST(evacuation, a_value_that_cannot_be_read_evacuates_all_the_same) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.store.put(milan, "\xff not json");
    fixture.start_watching();
    EXPECT_EQ(fixture.evacuated(), "milan ");
}

TEST(evacuation, items_of_unknown_kinds_raise_no_version) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    fixture.store.put("op/other", "x");
    fixture.deliver_change("op/other");
    EXPECT_EQ(fixture.snapshot->version.value, 11U);
    fixture.tick(longer_than_a_check);
    EXPECT_EQ(fixture.snapshot->version.value, 11U);
}

/// Guards against a return to the evacuation by a node that was cut off before its withdrawal and
/// comes back among nodes that started since.
TEST(evacuation, a_held_configuration_that_still_evacuates_is_replaced_by_a_newer_one) {
    evacuated_fixture cut_off;
    reader_fixture fixture;
    fixture.store = cut_off.store;
    fixture.store.erase(milan);
    fixture.start_watching();
    ASSERT_LT(fixture.snapshot->version, cut_off.snapshot->version);
    note_held(fixture.reader, cut_off.snapshot, fixture.now);
    fixture.tick(milliseconds{100});
    EXPECT_EQ(fixture.evacuated(), "");
    EXPECT_GT(fixture.snapshot->version, cut_off.snapshot->version);
}

/// All nodes restart after a withdrawal that left no item behind: a node that reads only later has
/// built the same content under a lower version.
TEST(evacuation, a_later_copy_in_force_counts_as_confirmed) {
    evacuated_fixture earlier;
    earlier.erase_watched(milan);
    reader_fixture fixture;
    fixture.store = earlier.store;
    fixture.start_watching();
    ASSERT_LT(fixture.snapshot->version, earlier.snapshot->version);
    note_held(fixture.reader, earlier.snapshot, fixture.now);
    fixture.tick(longer_than_a_check);
    EXPECT_EQ(fixture.reader.built_snapshot, earlier.snapshot);
}

TEST(evacuation, other_content_under_the_version_in_force_gets_a_version_of_its_own) {
    evacuated_fixture earlier;
    reader_fixture fixture;
    fixture.store = earlier.store;
    fixture.start_watching();
    note_held(fixture.reader, fixture.snapshot, fixture.now);
    const auto before = fixture.snapshot->version;
    fixture.store.put("elsewhere", "x");
    fixture.reader.has_conflict = true;
    fixture.tick(longer_than_a_check);
    EXPECT_GT(fixture.snapshot->version, before);
}

/// The older copy of the service lacks an evacuation until the operators write it again.
TEST(evacuation, stays_while_the_service_may_lack_it_and_ends_when_it_is_not_written_again) {
    evacuated_fixture fixture;
    fixture.reader.orders.era = 1;
    fixture.store.items.erase(milan);
    reader_actions actions;
    on_new_era(fixture.reader, 2, fixture.snapshot, fixture.now, actions);
    fixture.handle(actions);
    EXPECT_EQ(fixture.evacuated(), "milan ");
    note_held(fixture.reader, fixture.snapshot, fixture.now);
    fixture.store.put("elsewhere", "x");
    fixture.tick(seconds{20});
    EXPECT_EQ(fixture.evacuated(), "");
}

} // namespace
} // namespace cyclamenhatch::feed
