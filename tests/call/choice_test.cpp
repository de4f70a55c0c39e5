#include "call/choose_endpoint.h"
#include "call/retry_budget.h"

#include <gtest/gtest.h>

#include <map>
#include <ostream>
#include <string>

namespace cyclamenhatch::call {
namespace {

constexpr instant start{microseconds(1'000'000'000)};
constexpr microseconds ejection{2'000'000};
constexpr int draws = 2000;

endpoint make_endpoint(const std::string& node, const std::string& data_centre = "milan") {
    return {.node = node_id(node),
            .link = {},
            .region = {},
            .data_centre = data_centre_id(data_centre),
            .version = version_id("v1"),
            .state = msg::upstream_state::ready,
            .slots = 4,
            .incarnation = 1,
            .instance = "run-" + node,
            .started_ms = 7};
}

/// Three endpoints past their ramp, "c" in another data centre.
struct choice_fixture {
    choice_fixture() {
        for (const auto& target : endpoints) {
            auto& load = get_or_create_load(loads, target, start);
            load.latency = microseconds(10'000);
        }
        now = start + ramp_time;
    }

    endpoint_load& load(const std::string& node) { return loads[node_id(node)]; }

    std::string pick_one() {
        const version_filter version{.only = version_id("v1"), .except = {}};
        const data_centre_id data_centre("milan");
        const route_id route("browse");
        const auto* chosen =
            choose_endpoint({endpoints, version, data_centre, tried, route, warm_up_calls_per_s},
                            loads, now, random);
        return chosen == nullptr ? "none" : chosen->node.value;
    }

    /// Share of choices in percent.
    std::map<std::string, int> pick_many() {
        std::map<std::string, int> picked;
        for (int i = 0; i < draws; ++i) {
            ++picked[pick_one()];
        }
        for (auto& [node, count] : picked) {
            count = count * 100 / draws;
        }
        return picked;
    }

    std::vector<endpoint> endpoints{make_endpoint("a"), make_endpoint("b"),
                                    make_endpoint("c", "turin")};
    load_table loads;
    std::vector<node_id> tried;
    double warm_up_calls_per_s = 0;
    random_source random{1};
    instant now{};
};

struct choice_row {
    const char* name;
    void (*set)(choice_fixture&);
    /// Bounds of the share of the choices that "a" gets, in percent.
    int least;
    int most;

    friend std::ostream& operator<<(std::ostream& out, const choice_row& row) {
        return out << row.name;
    }
};

class choice : public ::testing::TestWithParam<choice_row> {};

TEST_P(choice, gives_the_endpoint_its_share) {
    choice_fixture fixture;
    GetParam().set(fixture);
    const auto share = fixture.pick_many()["a"];
    EXPECT_GE(share, GetParam().least);
    EXPECT_LE(share, GetParam().most);
}

const choice_row choice_rows[] = {
    {"equal", [](choice_fixture&) {}, 45, 55},
    {"busy", [](choice_fixture& fixture) { fixture.load("a").in_flight = 3; }, 0, 0},
    {"slow", [](choice_fixture& fixture) { fixture.load("a").latency *= 5; }, 0, 0},
    {"failing_fast",
     [](choice_fixture& fixture) {
         fixture.load("a").latency = microseconds(100);
         fixture.load("a").failure_share = 0.5;
     },
     0, 0},
    {"reported_busy",
     [](choice_fixture& fixture) {
         note_report(fixture.load("a"), route_id("browse"), {.in_flight = 4, .queue = 9}, 1,
                     fixture.now);
     },
     0, 0},
    {"old_report_does_not_count",
     [](choice_fixture& fixture) {
         note_report(fixture.load("a"), route_id("browse"), {.in_flight = 4}, 1,
                     fixture.now - 2 * report_lifetime);
     },
     45, 55},
    {"report_cannot_hide_own_calls",
     [](choice_fixture& fixture) {
         fixture.load("a").in_flight = 3;
         note_report(fixture.load("a"), route_id("browse"), {.in_flight = 0}, 1, fixture.now);
     },
     0, 0},
    {"cold", [](choice_fixture& fixture) { fixture.load("a").ready_since = fixture.now; }, 0, 0},
    {"cold_but_the_other_is_busy",
     [](choice_fixture& fixture) {
         fixture.load("a").ready_since = fixture.now - ramp_time / 2;
         fixture.load("b").in_flight = 3;
     },
     100, 100},
    {"full_here_spills_over",
     [](choice_fixture& fixture) {
         fixture.load("a").in_flight = 4;
         fixture.load("b").in_flight = 4;
     },
     0, 0},
    {"all_full_stays_here",
     [](choice_fixture& fixture) {
         fixture.load("a").in_flight = 4;
         fixture.load("b").in_flight = 8;
         fixture.load("c").in_flight = 4;
     },
     100, 100},
    {"tried", [](choice_fixture& fixture) { fixture.tried = {node_id("a")}; }, 0, 0},
    {"draining",
     [](choice_fixture& fixture) { fixture.endpoints[0].state = msg::upstream_state::draining; }, 0,
     0},
    {"starting",
     [](choice_fixture& fixture) { fixture.endpoints[0].state = msg::upstream_state::starting; }, 0,
     0},
    {"other_version",
     [](choice_fixture& fixture) { fixture.endpoints[0].version = version_id("v2"); }, 0, 0},
    {"ejected",
     [](choice_fixture& fixture) { fixture.load("a").ejected_until = fixture.now + ejection; }, 0,
     0},
    {"refuses_all_calls",
     [](choice_fixture& fixture) {
         note_refusal(fixture.load("a"), msg::refusal_reason::draining, fixture.now);
     },
     0, 0},
    {"refused_all_calls_a_while_ago",
     [](choice_fixture& fixture) {
         note_refusal(fixture.load("a"), msg::refusal_reason::draining, fixture.now - closed_time);
     },
     45, 55},
    {"refused_one_call",
     [](choice_fixture& fixture) {
         note_refusal(fixture.load("a"), msg::refusal_reason::queue_full, fixture.now);
     },
     45, 55},
    // Load: an upstream that sheds 55% of its calls though slots are free.
    {"shed_some_calls",
     [](choice_fixture& fixture) {
         for (int i = 0; i < 3; ++i) {
             note_refusal(fixture.load("a"), msg::refusal_reason::upstream_refused, fixture.now);
         }
     },
     0, 0},
    {"shed_some_calls_but_the_other_is_busy",
     [](choice_fixture& fixture) {
         note_refusal(fixture.load("a"), msg::refusal_reason::upstream_refused, fixture.now);
         fixture.load("b").in_flight = 2;
     },
     100, 100},
    {"shed_calls_a_while_ago",
     [](choice_fixture& fixture) {
         for (int i = 0; i < 3; ++i) {
             note_refusal(fixture.load("a"), msg::refusal_reason::upstream_refused,
                          fixture.now - shed_lifetime * 8);
         }
         // Any slower one would never be chosen.
         fixture.load("b").latency += microseconds(10);
     },
     45, 100},
    {"states_a_rate",
     [](choice_fixture& fixture) {
         note_upstream(fixture.load("a"), "run-a", 7, {.calls_per_s = 20}, fixture.now);
     },
     0, 0},
    {"stated_a_rate_a_while_ago",
     [](choice_fixture& fixture) {
         note_upstream(fixture.load("a"), "run-a", 7, {.calls_per_s = 20},
                       fixture.now - rate_lifetime - microseconds(1));
     },
     45, 55},
    {"stated_rate_allows_no_start",
     [](choice_fixture& fixture) {
         note_upstream(fixture.load("a"), "run-a", 7, {.calls_per_s = 200}, fixture.now);
         fixture.load("b").in_flight = 3;
         note_report(fixture.load("a"), route_id("browse"), {.wait_us = 50'000}, 1, fixture.now);
     },
     0, 0},
    {"stated_rate_is_used_when_others_are_full",
     [](choice_fixture& fixture) {
         note_upstream(fixture.load("a"), "run-a", 7, {.calls_per_s = 20}, fixture.now);
         fixture.load("b").in_flight = 4;
         fixture.load("c").in_flight = 4;
     },
     100, 100},
    {"warming_up_before_its_turn",
     [](choice_fixture& fixture) {
         note_upstream(fixture.load("a"), "run-a", 7,
                       {.calls_per_s = 200, .cold_left = milliseconds{2'000}}, fixture.now);
         note_turn(fixture.load("a"), milliseconds{500}, fixture.now);
         fixture.load("b").in_flight = 3;
     },
     0, 0},
    {"warming_up_at_its_turn",
     [](choice_fixture& fixture) {
         const auto before = fixture.now - microseconds(600'000);
         note_upstream(fixture.load("a"), "run-a", 7,
                       {.calls_per_s = 200, .cold_left = milliseconds{2'000}}, before);
         note_turn(fixture.load("a"), milliseconds{500}, before);
         fixture.load("b").in_flight = 3;
     },
     100, 100},
    {"warming_up_is_better_than_none",
     [](choice_fixture& fixture) {
         note_upstream(fixture.load("a"), "run-a", 7,
                       {.calls_per_s = 200, .cold_left = milliseconds{2'000}}, fixture.now);
         note_turn(fixture.load("a"), milliseconds{500}, fixture.now);
         fixture.endpoints.resize(1);
     },
     100, 100},
    {"warm_again",
     [](choice_fixture& fixture) {
         const auto before = fixture.now - microseconds(200'000);
         note_upstream(fixture.load("a"), "run-a", 7,
                       {.calls_per_s = 20, .cold_left = milliseconds{100}}, before);
         note_turn(fixture.load("a"), milliseconds{500}, before);
     },
     45, 55},
    {"says_that_it_leaves",
     [](choice_fixture& fixture) {
         note_upstream(fixture.load("a"), "run-a", 7, {.is_leaving = true}, fixture.now);
         fixture.endpoints.resize(2);
         fixture.load("b").in_flight = 9;
     },
     0, 0},
    {"a_report_of_another_run_does_not_count",
     [](choice_fixture& fixture) {
         note_upstream(fixture.load("a"), "run-0", 7, {.is_leaving = true}, fixture.now);
     },
     45, 55},
    {"suspect", [](choice_fixture& fixture) { fixture.endpoints[0].is_suspect = true; }, 0, 0},
    {"ejected_is_better_than_none",
     [](choice_fixture& fixture) {
         fixture.load("a").ejected_until = fixture.now + ejection;
         fixture.endpoints.resize(1);
     },
     100, 100},
};

INSTANTIATE_TEST_SUITE_P(rows, choice, ::testing::ValuesIn(choice_rows),
                         [](const auto& row) { return std::string(row.param.name); });

/// Guards against entries that learn of a cold upstream together and ask it together, and against a
/// part in this for services that state no rate.
TEST(entries, ask_a_cold_endpoint_first_at_different_times) {
    for (const double calls_per_s : {8.9, 0.0}) {
        int asked_at_once = 0;
        for (std::uint64_t entry = 0; entry < 200; ++entry) {
            choice_fixture fixture;
            fixture.random = random_source{entry};
            fixture.load("b").in_flight = 4;
            fixture.endpoints[0].incarnation = 2;
            fixture.endpoints[0].started_ms = 8;
            fixture.endpoints[0].warm_up_time = milliseconds{3'000};
            fixture.warm_up_calls_per_s = calls_per_s;
            fixture.now += microseconds(300'000);
            asked_at_once += fixture.pick_one() == "a" ? 1 : 0;
        }
        if (calls_per_s > 0) {
            EXPECT_LT(asked_at_once, 10);
        } else {
            EXPECT_EQ(asked_at_once, 200);
        }
    }
}

/// Guards against calls to an upstream that has said that it leaves, after the node beside it has
/// restarted and announces it as ready (DRAIN).
TEST(leaving_endpoint, is_remembered_for_its_run_only) {
    choice_fixture fixture;
    fixture.endpoints.resize(1);
    note_upstream(fixture.load("a"), "run-a", 7, {.calls_per_s = 3, .is_leaving = true},
                  fixture.now);
    fixture.endpoints[0].incarnation = 2;
    EXPECT_EQ(fixture.pick_one(), "none");
    EXPECT_EQ(fixture.load("a").notice.calls_per_s, 3);
    // An answer that was under way does not take it back.
    note_upstream(fixture.load("a"), "run-a", 7, {}, fixture.now);
    EXPECT_EQ(fixture.pick_one(), "none");
    fixture.endpoints[0].started_ms = 8;
    EXPECT_EQ(fixture.pick_one(), "a");
    EXPECT_EQ(fixture.load("a").notice.calls_per_s, 0);
}

TEST(ejection, ends_by_one_probe_at_a_time) {
    choice_fixture fixture;
    for (std::uint32_t i = 0; i < failures_to_eject; ++i) {
        note_opened(fixture.load("a"), fixture.now);
        note_ended(fixture.load("a"), attempt_end::failed, {}, true, ejection, fixture.now);
    }
    EXPECT_EQ(fixture.pick_many()["a"], 0);
    fixture.now += ejection;
    EXPECT_EQ(fixture.pick_one(), "a");
    note_opened(fixture.load("a"), fixture.now);
    EXPECT_EQ(fixture.pick_many()["a"], 0);
    note_ended(fixture.load("a"), attempt_end::failed, {}, true, ejection, fixture.now);
    // A failed probe ejects for twice as long.
    fixture.now += ejection;
    EXPECT_EQ(fixture.pick_many()["a"], 0);
    fixture.now += ejection;
    note_opened(fixture.load("a"), fixture.now);
    note_ended(fixture.load("a"), attempt_end::ok, microseconds(10'000), true, ejection,
               fixture.now);
    EXPECT_FALSE(is_ejected(fixture.load("a"), fixture.now));
}

TEST(ejection, respects_the_cap) {
    choice_fixture fixture;
    const version_id version("v1");
    EXPECT_TRUE(may_eject_one(fixture.loads, fixture.endpoints, version, 50));
    fixture.load("a").ejected_until = fixture.now + ejection;
    EXPECT_FALSE(may_eject_one(fixture.loads, fixture.endpoints, version, 50));
    EXPECT_TRUE(may_eject_one(fixture.loads, fixture.endpoints, version, 67));
}

TEST(version, follows_the_share_and_the_caller) {
    choice_fixture fixture;
    routing_view view;
    service moved_service;
    moved_service.name = service_id("ledger");
    moved_service.version = version_id("v1");
    view.endpoints[moved_service.name] = fixture.endpoints;
    view.shares[moved_service.name] = {.old_version = version_id("v1"),
                                       .new_version = version_id("v2"),
                                       .permille = 250,
                                       .move = move_id("m")};
    const auto count_new = [&] {
        int picked = 0;
        for (int i = 0; i < draws; ++i) {
            const auto key = "caller-" + std::to_string(i);
            const auto first = choose_version(view, moved_service, key, fixture.random);
            EXPECT_EQ(first, choose_version(view, moved_service, key, fixture.random));
            picked += first == version_filter{.only = version_id("v2"), .except = {}} ? 1 : 0;
        }
        return picked;
    };
    // No endpoint of the new version is ready, so all calls go to the old one.
    EXPECT_EQ(count_new(), 0);
    view.endpoints[moved_service.name][0].version = version_id("v2");
    EXPECT_NEAR(count_new(), draws * 0.25, draws * 0.05);
}

TEST(retry_budget, allows_a_share_of_the_calls) {
    retry_budget budget;
    const budget_rules rules{.percent = 10, .window = seconds{10}, .slack = 20};
    std::uint64_t retries = 0;
    constexpr int calls = 10'000;
    for (int i = 0; i < calls; ++i) {
        note_first_attempt(budget, rules, start);
        retries += spend_retry(budget, rules, start) ? 1 : 0;
    }
    // The share and the slack.
    EXPECT_GE(retries, 1000U);
    EXPECT_LE(retries, 1020U);
    EXPECT_EQ(budget.refused_retries, calls - retries);
}

/// Guards against windows with more retries than the share of their calls plus the slack, whatever
/// the times of calls and retries.
TEST(retry_budget, holds_in_every_window) {
    retry_budget budget;
    const budget_rules rules{.percent = 20, .window = seconds{10}, .slack = 3};
    random_source random{7};
    struct event {
        instant at;
        bool is_retry;
    };
    std::vector<event> events;
    instant now = start;
    for (int i = 0; i < 4000; ++i) {
        // Bursts of calls, and pauses longer than a window.
        now += milliseconds{static_cast<std::int64_t>(i % 500 == 0 ? 12'000 : random() % 60)};
        note_first_attempt(budget, rules, now);
        events.push_back({now, false});
        for (int wish = 0; wish < 3; ++wish) {
            if (spend_retry(budget, rules, now)) {
                events.push_back({now, true});
            }
        }
    }
    for (std::size_t end = 0; end < events.size(); ++end) {
        double calls = 0;
        double retries = 0;
        for (std::size_t i = end + 1; i-- > 0 && events[i].at > events[end].at - rules.window;) {
            ++(events[i].is_retry ? retries : calls);
        }
        EXPECT_LE(retries, calls * 0.2 + rules.slack);
    }
}

} // namespace
} // namespace cyclamenhatch::call
