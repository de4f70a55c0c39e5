#include "move/reports.h"

#include "messages/envelope.h"
#include "move/brief.h"
#include "move/combining.h"
#include "move/fixture.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::moves {
namespace {

const version_id old_version{"v1"};
const version_id new_version{"v2"};

route_id name_route(std::size_t number) {
    return route_id("r" + std::to_string(10'000 + number));
}

/// A report of routes with as many calls on both versions.
report make_many(std::size_t routes, std::uint64_t calls, const std::string& source = "n1") {
    report made{.key = make_key(), .source = source, .sequence = 1, .begun = start_time};
    for (std::size_t i = 0; i < routes; ++i) {
        auto& totals = made.routes[name_route(i)];
        totals.new_calls = calls;
        totals.old_calls = calls;
        totals.new_latency.at(10) = calls;
    }
    return made;
}

report pass_on(const report& sent) {
    return from_message(to_message(sent, old_version, new_version), new_version);
}

std::uint64_t count_calls(const std::map<route_id, route_totals>& routes) {
    std::uint64_t calls = 0;
    for (const auto& [name, totals] : routes) {
        calls += totals.new_calls + totals.old_calls;
    }
    return calls;
}

/// Guards against a fault that nobody judges, since it is on a route whose name comes behind the
/// first 64 (EXPOSURE).
TEST(reports, a_fault_on_the_last_of_many_routes_is_found) {
    auto sent = make_many(120, 60);
    sent.routes.rbegin()->second.new_errors = 30;
    collection collected;
    ASSERT_TRUE(accept(collected, pass_on(sent), start_time));
    const auto fault = find_fault(sum_totals(collected));
    ASSERT_TRUE(fault);
    EXPECT_EQ(fault->route, name_route(119));
    EXPECT_EQ(count_cut(collected), 0U);

    combined_group group;
    group.collected = collected;
    const auto combined = pass_on(combine(group, make_key(), "dc/0/1", start_time + seconds{1}));
    ASSERT_TRUE(find_fault(combined.routes));
    EXPECT_EQ(find_fault(combined.routes)->route, name_route(119));
}

/// Guards against a report that is too large for a link, and against one that loses calls or says
/// nothing of what it lacks.
TEST(reports, routes_beyond_the_limit_are_summed_and_counted) {
    const auto sent = make_many(3 * max_report_routes, 7);
    const auto message = to_message(sent, old_version, new_version);
    EXPECT_LT(encode_envelope(node_id{"n1"}, message, milliseconds{0}).size(), 4'194'304U);
    EXPECT_EQ(message.cut_routes, 2 * max_report_routes);
    const auto received = from_message(message, new_version);
    EXPECT_EQ(received.routes.size(), max_report_routes + 1);
    EXPECT_EQ(count_calls(received.routes), count_calls(sent.routes));
    EXPECT_EQ(received.cut_routes, 2 * max_report_routes);
    const auto& rest = received.routes.at(rest_of_routes());
    EXPECT_EQ(rest.new_calls, std::uint64_t{14} * max_report_routes);
    EXPECT_EQ(rest.new_latency, latency_counts{}) << "those of different routes do not compare";
}

/// Guards against a choice of routes that depends on their errors: it would show each source's
/// unlucky routes only, and blame good versions.
TEST(reports, routes_with_the_most_calls_on_the_new_version_stay) {
    auto routes = make_many(100, 0).routes;
    for (std::size_t i = 0; i < 100; ++i) {
        routes[name_route(i)].old_calls = 1000;
        routes[name_route(i)].new_calls = i % 10;
        routes[name_route(i)].new_errors = i % 10 == 1 ? 1 : 0;
    }
    EXPECT_EQ(fold_routes(routes, 20), 70U);
    ASSERT_EQ(routes.size(), 21U);
    for (const auto& [name, totals] : routes) {
        EXPECT_TRUE(name == rest_of_routes() || totals.new_calls >= 8) << name.value;
    }
    EXPECT_EQ(routes[rest_of_routes()].new_errors, 10U);
    EXPECT_EQ(fold_routes(routes, 20), 0U) << "the rest is no route of its own";

    auto idle = make_many(100, 0).routes;
    EXPECT_EQ(fold_routes(idle, 20), 0U) << "without calls on the new version nothing is lost";
}

/// Guards against a controller whose memory grows with routes times sources.
TEST(reports, all_sources_together_are_bounded) {
    collection collected;
    const std::size_t sources = max_collected_routes / max_report_routes;
    for (std::size_t i = 0; i < sources + 2; ++i) {
        const auto source = "n" + std::to_string(i);
        EXPECT_TRUE(accept(collected, make_many(max_report_routes, 1, source), start_time));
    }
    std::size_t kept = 0;
    std::uint64_t calls = 0;
    for (const auto& [name, source] : collected.sources) {
        kept += source.latest.routes.size();
        calls += count_calls(source.latest.routes);
    }
    EXPECT_LE(kept, max_collected_routes + sources + 2) << "with a sum of the rest for each source";
    EXPECT_EQ(calls, 2 * max_report_routes * (sources + 2));
    EXPECT_EQ(count_cut(collected), 2 * max_report_routes);
}

TEST(reports, a_source_that_is_refused_counts_as_cut) {
    collection collected;
    for (std::size_t i = 0; i <= max_sources; ++i) {
        EXPECT_EQ(accept(collected, make_many(1, 1, "n" + std::to_string(i)), start_time),
                  i < max_sources);
    }
    EXPECT_EQ(count_cut(collected), 1U);
}

/// The sums that are kept equal those of the latest reports.
RC_GTEST_PROP(reports_property, sums_follow_the_latest_reports, ()) {
    collection collected;
    auto now = start_time;
    for (int step = 0; step < 30; ++step) {
        now += seconds{*rc::gen::inRange(1, 6)};
        const auto number = *rc::gen::inRange(0, 4);
        auto received = make_many(static_cast<std::size_t>(*rc::gen::inRange(1, 8)),
                                  static_cast<std::uint64_t>(*rc::gen::inRange(0, 9)),
                                  (number > 1 ? "dc/" : "n") + std::to_string(number));
        received.sources = number > 1 ? 8 : 1;
        received.sequence = static_cast<std::uint64_t>(*rc::gen::inRange(1, 40));
        (void)accept(collected, received, now);
        drop_silent_groups(collected, now);
        std::uint64_t calls = 0;
        std::uint64_t in_bucket = 0;
        for (const auto& [name, source] : collected.sources) {
            calls += count_calls(source.latest.routes);
            for (const auto& [route, totals] : source.latest.routes) {
                in_bucket += totals.new_latency.at(10);
            }
        }
        RC_ASSERT(count_calls(sum_totals(collected)) == calls);
        for (const auto& [route, totals] : sum_totals(collected)) {
            RC_ASSERT(totals.new_latency.at(10) <= in_bucket);
            in_bucket -= totals.new_latency.at(10);
        }
        RC_ASSERT(in_bucket == 0U);
    }
}

move make_brief_move() {
    auto planned = make_move();
    planned.duration = seconds{16};
    planned.deadline = start_time + planned.duration;
    return planned;
}

/// Guards against a move that ends as sound while evidence on it was sent and not read.
class incomplete_evidence : public ::testing::TestWithParam<bool> {};

TEST_P(incomplete_evidence, is_never_called_sound) {
    const auto planned = GetParam() ? make_brief_move() : make_move();
    const attempt_record record{.granted = permit{.stage = 3, .permille = 1000, .at = start_time}};
    control_state controller;
    controller.collected.begun = start_time;
    auto sent = make_many(4, 100);
    sent.cut_routes = 1;
    bool is_taken_back = false;
    for (auto now = start_time; now < planned.deadline + seconds{1}; now += milliseconds{100}) {
        sent.sequence = static_cast<std::uint64_t>(to_unix_ms(now));
        (void)accept(controller.collected, sent, now);
        const control_facts facts{.planned = planned,
                                  .record = record,
                                  .ready = {.on_new = 24, .on_old = 72},
                                  .self = node_id("n1"),
                                  .single_veto_suffices = true};
        const auto decided = decide(controller, facts, now);
        EXPECT_FALSE(std::holds_alternative<finish>(decided));
        is_taken_back = is_taken_back || std::holds_alternative<veto>(decided);
    }
    EXPECT_TRUE(is_taken_back);
}

INSTANTIATE_TEST_SUITE_P(moves, incomplete_evidence, ::testing::Bool(),
                         [](const auto& row) { return std::string(row.param ? "brief" : "long"); });

/// Guards against a version that is bad on one route of a service with many, and completed
/// (EXPOSURE).
class one_bad_route_of_many : public ::testing::TestWithParam<bool> {};

TEST_P(one_bad_route_of_many, takes_the_version_back) {
    auto planned = GetParam() ? make_brief_move() : make_move();
    small_fleet fleet(6, planned);
    fleet.routes = 120;
    fleet.other_route = "z";
    fleet.fails_on_other_route_only = true;
    fleet.new_errors = 50;
    fleet.calls = 30;
    fleet.tick();
    // The controllers hear of the calls by its reports only.
    const auto& controllers = fleet.nodes[0].open.begin()->second.current_topology.controllers;
    fleet.only_caller = 0;
    while (std::find(controllers.begin(), controllers.end(),
                     node_id("n" + std::to_string(fleet.only_caller))) != controllers.end()) {
        ++fleet.only_caller;
    }
    ASSERT_LT(fleet.only_caller, 6U);
    fleet.run(std::chrono::duration_cast<seconds>(planned.deadline - start_time));
    ASSERT_FALSE(fleet.closes.empty());
    EXPECT_EQ(fleet.closes.front().ending.outcome, move_outcome::taken_back);
    EXPECT_NE(fleet.closes.front().ending.reason.find("errors"), std::string::npos)
        << fleet.closes.front().ending.reason;
}

INSTANTIATE_TEST_SUITE_P(moves, one_bad_route_of_many, ::testing::Bool(),
                         [](const auto& row) { return std::string(row.param ? "brief" : "long"); });

} // namespace
} // namespace cyclamenhatch::moves
