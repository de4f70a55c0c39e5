#include "admin/fake_backend.h"
#include "admin/watch.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::admin {
namespace {

const auto start = from_unix_ms(1000);

distribution::version_progress make_progress(std::uint64_t version, bool is_in_force) {
    return {.version = config_version{version},
            .accepted_at = start,
            .in_force_at = is_in_force ? start + milliseconds{750} : instant{},
            .nodes = 6,
            .slowest = node_id{"n6"},
            .operations = {operation_id{"op"}}};
}

struct watch : testing::Test {
    fake_node node{.config = make_config(7, make_catalogue())};
    backend node_backend = make_backend(node);
    watch_cursor cursor = make_watch_cursor(config_version{7}, start);

    std::string read_events(instant now = start) {
        std::string text;
        for (const auto& event : next_events(cursor, node_backend, now)) {
            text += text_or(event, "event", "?") + std::to_string(number_or(event, "version", -1));
            text += " ";
        }
        return text;
    }
};

TEST_F(watch, reports_each_version_once_as_accepted_and_once_as_in_force) {
    node.progress = {make_progress(7, true), make_progress(8, false)};
    EXPECT_EQ(read_events(), "accepted8 in_force7 ");
    EXPECT_EQ(read_events(), "");
    node.progress[1] = make_progress(8, true);
    EXPECT_EQ(read_events(), "in_force8 ");
    EXPECT_EQ(read_events(), "");
}

TEST_F(watch, writes_all_fields_of_an_event) {
    node.progress = {make_progress(8, true)};
    const auto events = next_events(cursor, node_backend, start);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(write_json(events[1]),
              R"({"event":"in_force","version":8,"accepted_at":"1970-01-01T00:00:01.000Z",)"
              R"("in_force_at":"1970-01-01T00:00:01.750Z","convergence_ms":750,"nodes":6,)"
              R"("slowest":"n6","operations":["op"]})");
}

TEST_F(watch, reports_versions_that_this_node_never_held) {
    node.progress = {make_progress(10, false)};
    EXPECT_EQ(read_events(), "gap-1 accepted10 ");
    node.progress = {make_progress(10, true)};
    EXPECT_EQ(read_events(), "in_force10 ");
    EXPECT_TRUE(cursor.pending.empty());
}

TEST_F(watch, from_the_beginning_leaves_out_the_empty_configuration) {
    cursor = make_watch_cursor(config_version{}, start);
    node.progress = {make_progress(0, true), make_progress(1, true)};
    EXPECT_EQ(read_events(), "accepted1 in_force1 move_ended5 ");
}

TEST_F(watch, never_reports_an_older_version) {
    node.progress = {make_progress(5, true), make_progress(6, true)};
    EXPECT_EQ(read_events(), "");
}

TEST_F(watch, reports_each_ending_once) {
    auto part = make_catalogue();
    auto& ended = part.moves[1];
    ended.ending = move_ending{.outcome = move_outcome::done};
    ended.last_write.revision = config_version{8};
    node.config = make_config(8, part);
    EXPECT_EQ(read_events(), "move_ended8 ");
    node.config = make_config(9, part);
    EXPECT_EQ(read_events(), "");
}

TEST_F(watch, sends_alive_events) {
    EXPECT_EQ(read_events(start + alive_interval - milliseconds{1}), "");
    EXPECT_EQ(read_events(start + alive_interval), "alive7 ");
    EXPECT_EQ(read_events(start + alive_interval), "");
}

} // namespace
} // namespace cyclamenhatch::admin
