#include "move/fixture.h"
#include "move/node_share.h"
#include "move/plan.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::moves {

namespace {

std::size_t count_outcomes(const std::vector<store::move_close>& closes, move_outcome outcome) {
    return static_cast<std::size_t>(
        std::count_if(closes.begin(), closes.end(),
                      [outcome](const auto& close) { return close.ending.outcome == outcome; }));
}

struct fleet_case {
    const char* name;
    int new_errors;
    int old_errors;
    std::size_t liar;
    move_outcome outcome;
};

class fleet_cases : public testing::TestWithParam<fleet_case> {};

TEST_P(fleet_cases, end_with_the_expected_outcome) {
    small_fleet fleet(6);
    fleet.new_errors = GetParam().new_errors;
    fleet.old_errors = GetParam().old_errors;
    fleet.liar = GetParam().liar;
    fleet.run(seconds(130));
    ASSERT_FALSE(fleet.closes.empty());
    EXPECT_EQ(count_outcomes(fleet.closes, GetParam().outcome), fleet.closes.size());
    EXPECT_LE(fleet.closes.front().ending.in_force_at, make_move().deadline);
}

INSTANTIATE_TEST_SUITE_P(
    rows, fleet_cases,
    testing::Values(fleet_case{"good", 0, 0, SIZE_MAX, move_outcome::done},
                    fleet_case{"all_fail", 100, 0, SIZE_MAX, move_outcome::taken_back},
                    fleet_case{"some_fail", 10, 1, SIZE_MAX, move_outcome::taken_back},
                    fleet_case{"both_fail", 30, 30, SIZE_MAX, move_outcome::done},
                    fleet_case{"liar_0", 0, 1, 0, move_outcome::done},
                    fleet_case{"liar_1", 0, 1, 1, move_outcome::done},
                    fleet_case{"liar_2", 0, 1, 2, move_outcome::done},
                    fleet_case{"liar_3", 0, 1, 3, move_outcome::done}),
    [](const auto& row) { return std::string(row.param.name); });

TEST(fleet, a_version_bad_at_once_meets_few_calls_and_none_after_the_veto) {
    small_fleet fleet(6);
    fleet.new_errors = 100;
    while (fleet.closes.empty() && fleet.now < make_move().deadline) {
        fleet.tick();
    }
    EXPECT_LT(fleet.calls_on_new, 60U);
    fleet.run(seconds(1));
    const auto before = fleet.calls_on_new;
    fleet.run(seconds(10));
    EXPECT_EQ(fleet.calls_on_new, before);
}

TEST(fleet, a_store_outage_leaves_traffic_in_time_and_the_record_says_when) {
    small_fleet fleet(6);
    fleet.run(seconds(200));
    EXPECT_EQ(fleet.share(0), full_share_permille);
    ASSERT_GT(fleet.closes.size(), 3U);
    const auto& last = fleet.closes.back().ending;
    EXPECT_EQ(last.outcome, move_outcome::done);
    EXPECT_EQ(last.in_force_at, fleet.closes.front().ending.in_force_at);
    EXPECT_LT(last.in_force_at, make_move().deadline);
    move ended = make_move();
    ended.ending = last;
    fleet.set_config(ended);
    EXPECT_TRUE(version_shares(fleet.nodes[0], fleet.now).empty());
    EXPECT_EQ(list_status(fleet.nodes[0], fleet.now).at(0).phase, "done");
}

TEST(fleet, a_veto_beats_done_until_the_record_is_written) {
    small_fleet fleet(6);
    fleet.run(seconds(125));
    ASSERT_EQ(count_outcomes(fleet.closes, move_outcome::taken_back), 0U);
    ASSERT_FALSE(fleet.closes.empty());
    move cancelled = make_move();
    cancelled.cancel = true;
    fleet.set_config(cancelled);
    EXPECT_EQ(fleet.share(0), 0U);
    fleet.closes.clear();
    fleet.run(seconds(12));
    ASSERT_FALSE(fleet.closes.empty());
    EXPECT_EQ(count_outcomes(fleet.closes, move_outcome::done), 0U);
}

struct idle_case {
    const char* name;
    little_traffic_policy policy;
    move_outcome outcome;
    const char* reason;
};

class idle_cases : public testing::TestWithParam<idle_case> {};

TEST_P(idle_cases, end_as_the_policy_requires) {
    move planned = make_move();
    planned.on_little_traffic = GetParam().policy;
    small_fleet fleet(3, planned);
    fleet.calls = 0;
    fleet.run(seconds(130));
    ASSERT_FALSE(fleet.closes.empty());
    EXPECT_EQ(fleet.closes.back().ending.outcome, GetParam().outcome);
    EXPECT_NE(fleet.closes.back().ending.reason.find(GetParam().reason), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(rows, idle_cases,
                         testing::Values(idle_case{"take_back", little_traffic_policy::take_back,
                                                   move_outcome::taken_back, "only 0 of 50 calls"},
                                         idle_case{"done", little_traffic_policy::done,
                                                   move_outcome::done, "little traffic"}),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(fleet, without_endpoints_of_the_new_version_the_move_waits_and_is_taken_back) {
    small_fleet fleet(4);
    for (auto& table : fleet.tables) {
        table.self.upstream->version = "v1";
        for (auto& [node, other] : table.members) {
            other.record.upstream->version = "v1";
        }
        ++table.generation;
    }
    fleet.run(seconds(60));
    EXPECT_EQ(fleet.share(0), 0U);
    fleet.run(seconds(70));
    ASSERT_FALSE(fleet.closes.empty());
    EXPECT_EQ(fleet.closes.back().ending.outcome, move_outcome::taken_back);
    EXPECT_NE(fleet.closes.back().ending.reason.find("no endpoints"), std::string::npos);
}

TEST(fleet, an_entry_that_is_cut_off_still_stops_a_bad_version_by_itself) {
    small_fleet fleet(6);
    fleet.run(seconds(20));
    ASSERT_GT(fleet.share(5), 0U);
    fleet.isolated = 5;
    fleet.new_errors = 100;
    fleet.run(seconds(60));
    EXPECT_EQ(fleet.share(5), 0U);
}

/// Evidence counts even if its route belongs to another service that sends part of its calls here,
/// or has just been removed from the configuration.
TEST(fleet, evidence_counts_whatever_routes_it_names) {
    auto planned = make_move();
    planned.duration = seconds(16);
    small_fleet fleet(6, planned);
    fleet.other_route = "route-of-another-service";
    fleet.run(seconds(5));
    constexpr std::uint64_t calls = std::uint64_t{6} * 10 * 50;
    std::uint64_t most_reported = 0;
    for (const auto& node : fleet.nodes) {
        std::uint64_t reported_calls = 0;
        for (const auto& [name, source] : node.open.begin()->second.control.collected.sources) {
            for (const auto& [route, totals] : source.latest.routes) {
                reported_calls += totals.new_calls + totals.old_calls;
            }
        }
        most_reported = std::max(most_reported, reported_calls);
    }
    EXPECT_GE(most_reported * 10, calls * 9);
}

TEST(fleet, a_restarted_node_learns_the_permitted_share) {
    small_fleet fleet(6);
    fleet.run(seconds(20));
    const auto permitted = fleet.share(0);
    ASSERT_GT(permitted, 0U);
    fleet.nodes[5] = make_state({}, fleet.now);
    actions out;
    on_config(fleet.nodes[5], fleet.tables[5], fleet.nodes[0].config, fleet.now, out);
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.share(5), fleet.share(0));
}

move make_timed_move() {
    auto planned = make_move();
    planned.duration = seconds(16);
    return planned;
}

/// Replaces a node by a new process that holds the current configuration. Returns its log events.
std::vector<log_event> restart(small_fleet& fleet, std::size_t node) {
    const auto config = fleet.nodes[node].config;
    fleet.nodes[node] = make_state({}, fleet.now);
    actions out;
    on_config(fleet.nodes[node], fleet.tables[node], config, fleet.now, out);
    return out.logs;
}

bool has_event(const std::vector<log_event>& events, std::string_view name) {
    return std::any_of(events.begin(), events.end(),
                       [&](const log_event& event) { return event.name == name; });
}

instant deadline_at(const small_fleet& fleet, std::size_t node) {
    return fleet.nodes[node].open.at(make_key()).planned.deadline;
}

/// Guards against a deadline that is counted anew from each start of a node: the move then ended at
/// another time on each node, or never while restarts went on.
TEST(fleet, a_restarted_node_keeps_the_deadline_of_a_move) {
    small_fleet fleet(6, make_timed_move());
    // A configuration that has the move when a process starts is not the one that ordered it.
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        fleet.nodes[node] = make_state({}, fleet.now);
    }
    fleet.set_config(make_move());
    auto later = make_timed_move();
    later.name = move_id("m2");
    fleet.set_config(later);
    const attempt_key key{.service = later.service, .name = later.name, .attempt = 1};
    const auto ordered = fleet.now;
    fleet.run(seconds(5));
    restart(fleet, 5);
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.nodes[5].open.at(key).planned.deadline, ordered + later.duration);
    EXPECT_EQ(fleet.nodes[0].open.at(key).planned.deadline, ordered + later.duration);
}

TEST(fleet, nodes_that_all_start_during_a_move_agree_on_its_deadline) {
    auto planned = make_timed_move();
    planned.duration = seconds(60);
    small_fleet fleet(6, planned);
    for (std::size_t node = 1; node < fleet.nodes.size(); ++node) {
        fleet.run(seconds(1));
        restart(fleet, node);
    }
    fleet.run(seconds(20));
    for (std::size_t node = 1; node < fleet.nodes.size(); ++node) {
        EXPECT_EQ(deadline_at(fleet, node), deadline_at(fleet, 0));
    }
}

/// Guards against a move that has ended and opens anew on each node that starts: it logged an
/// opening and reported evidence until the end of the process.
TEST(fleet, an_ended_move_is_not_opened_again_by_a_restart) {
    small_fleet fleet(6, make_timed_move());
    fleet.run(seconds(2));
    actions ignored;
    adopt_record(fleet.nodes[0], make_key(), {.outcome = move_outcome::taken_back}, fleet.now,
                 ignored);
    fleet.run(seconds(2));
    EXPECT_FALSE(has_event(restart(fleet, 5), "move_opened"));
    fleet.run(seconds(1));
    EXPECT_TRUE(has_recorded_ending(fleet.nodes[5].records.at(make_key())));
    EXPECT_EQ(fleet.share(5), 0U);
}

/// Guards against a node that was cut off, takes itself for the first controller and takes back
/// what the others have recorded as done; the endpoints of the old version have stopped by then.
TEST(fleet, a_recorded_ending_wins_over_the_veto_of_a_node_that_was_cut_off) {
    small_fleet fleet(6, make_timed_move());
    fleet.run(seconds(2));
    fleet.isolated = 5;
    actions ignored;
    raise_veto(fleet.nodes[5], make_key(),
               {.reason = msg::veto_reason::no_endpoints,
                .raised_by = node_id(fleet.tables[5].self.node),
                .at = fleet.now,
                .is_confirmed = true},
               ignored);
    fleet.run(seconds(1));
    ASSERT_EQ(fleet.share(5), 0U);
    adopt_record(fleet.nodes[0], make_key(), {.outcome = move_outcome::done}, fleet.now, ignored);
    fleet.run(seconds(2));
    fleet.isolated = SIZE_MAX;
    for (int step = 0; step < 10; ++step) {
        fleet.run(seconds(1));
        EXPECT_EQ(fleet.share(0), full_share_permille) << step;
    }
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        EXPECT_EQ(fleet.share(node), full_share_permille) << node;
    }
}

TEST(fleet, nodes_report_no_evidence_on_an_ended_move) {
    small_fleet fleet(6, make_timed_move());
    fleet.run(seconds(2));
    actions ignored;
    adopt_record(fleet.nodes[0], make_key(), {.outcome = move_outcome::done}, fleet.now, ignored);
    fleet.run(seconds(2));
    EXPECT_EQ(fleet.share(5), full_share_permille);
    const auto count_reports = [&] {
        std::uint64_t newest = 0;
        for (const auto& node : fleet.nodes) {
            for (const auto& [name, source] : node.open.at(make_key()).control.collected.sources) {
                newest = std::max(newest, source.latest.sequence);
            }
        }
        return newest;
    };
    const auto before = count_reports();
    fleet.run(seconds(5));
    EXPECT_EQ(count_reports(), before);
}

} // namespace

} // namespace cyclamenhatch::moves
