#include "control/settled_fleet.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

/// The nodes that watch the store for the others fail just before the configuration changes.
namespace cyclamenhatch::control {
namespace {

using testing::document_key;
using testing::feed_fleet;
using testing::in_force_bound;
using testing::list_watching;
using testing::start_settled_fleet;

/// From the failure to the change.
constexpr milliseconds lead{100};

/// Changes the configuration after the failure of these nodes, and returns the names of the others
/// that still route by the former one when the bound has passed.
std::string find_late_nodes(feed_fleet& fleet, const std::vector<std::size_t>& failed) {
    for (const auto node : failed) {
        fleet.nodes[node].reset();
    }
    fleet.run(lead);
    fleet.write(document_key, "2 /second/");
    fleet.run(in_force_bound);
    std::string late;
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        if (fleet.nodes[node] && fleet.prefix_at(node) != "/second/") {
            late += fleet.nodes[node]->settings.identity->node + " ";
        }
    }
    return late;
}

struct watcher_row {
    const char* name;
    std::size_t nodes;
    std::vector<std::string> data_centres;
    std::size_t watchers;

    friend std::ostream& operator<<(std::ostream& out, const watcher_row& row) {
        return out << row.name;
    }
};

class watcher_loss : public ::testing::TestWithParam<watcher_row> {};

/// Guards against a change that reaches the other nodes only once membership has declared the
/// watchers dead (CONFIG).
TEST_P(watcher_loss, delays_a_change_by_less_than_its_bound) {
    constexpr milliseconds phase_step{35};
    for (int step = 0; step < 30; ++step) {
        auto fleet =
            start_settled_fleet(GetParam().nodes, GetParam().data_centres, step * phase_step);
        const auto watching = list_watching(fleet);
        ASSERT_EQ(watching.size(), GetParam().watchers);
        EXPECT_EQ(find_late_nodes(fleet, watching), "") << step;
    }
}

INSTANTIATE_TEST_SUITE_P(fleets, watcher_loss,
                         ::testing::ValuesIn(std::vector<watcher_row>{
                             {"one_data_centre_of_four", 4, {"milan"}, 1},
                             {"three_data_centres_of_two", 6, {"milan", "bergamo", "brescia"}, 3},
                             {"one_data_centre_of_sixteen", 16, {"milan"}, 1}}),
                         [](const auto& row) { return std::string(row.param.name); });

/// Guards against nodes that would take over but fail together with the watcher.
TEST(half_of_a_fleet, may_fail_whichever_nodes_watch_the_store) {
    constexpr std::size_t count = 6;
    constexpr int half = 3;
    for (unsigned subset = 0; subset < 1U << count; ++subset) {
        std::vector<std::size_t> failed;
        for (std::size_t node = 0; node < count; ++node) {
            if ((subset >> node & 1U) != 0) {
                failed.push_back(node);
            }
        }
        if (failed.size() != half) {
            continue;
        }
        auto fleet = start_settled_fleet(count, {"milan"}, milliseconds{subset * 7});
        EXPECT_EQ(find_late_nodes(fleet, failed), "") << subset;
    }
}

/// Guards against standing by that costs requests to the store: only one node of the data centre
/// watches it, and it stays the same one.
TEST(standing_by, leaves_the_watch_to_one_node) {
    auto fleet = start_settled_fleet(16, {"milan"}, milliseconds{0});
    const auto before = list_watching(fleet);
    ASSERT_EQ(before.size(), 1U);
    for (int second = 0; second < 30; ++second) {
        fleet.run(seconds{1});
        EXPECT_EQ(list_watching(fleet), before);
    }
}

} // namespace
} // namespace cyclamenhatch::control
