#include "call/choose_endpoint.h"
#include "call/endpoint_speed.h"

#include <gtest/gtest.h>

#include <map>
#include <ostream>
#include <string>

namespace cyclamenhatch::call {
namespace {

constexpr instant start{microseconds(1'000'000'000)};
constexpr microseconds usual_run{100'000};
constexpr std::uint32_t slots = 10;
constexpr int draws = 2000;

endpoint make_endpoint(const std::string& node, const std::string& data_centre) {
    return {.node = node_id(node),
            .link = {},
            .region = {},
            .data_centre = data_centre_id(data_centre),
            .version = version_id("v1"),
            .state = msg::upstream_state::ready,
            .slots = slots,
            .incarnation = 1,
            .instance = "run-" + node,
            .started_ms = 7};
}

/// Two upstreams here and two in another data centre, all known and past their ramp, whose usual
/// run takes 100 ms.
struct uneven_fixture {
    uneven_fixture() {
        for (const auto& target : endpoints) {
            auto& known = get_or_create_load(loads, target, start);
            known.latency = usual_run;
        }
        times[route] = usual_run;
        now = start + ramp_time;
    }

    endpoint_load& load(const std::string& node) { return loads[node_id(node)]; }

    void report(const std::string& node, std::uint32_t in_flight, std::uint32_t percent,
                microseconds wait = microseconds{0}) {
        note_report(load(node), route,
                    {.in_flight = in_flight,
                     .slots = slots,
                     .wait_us = static_cast<std::uint32_t>(wait.count()),
                     .pace_percent = percent},
                    1, now);
    }

    /// Share of the choices in percent.
    std::map<std::string, int> pick(microseconds objective) {
        std::map<std::string, int> picked;
        const version_filter version{.only = version_id("v1"), .except = {}};
        const data_centre_id data_centre("milan");
        for (int i = 0; i < draws; ++i) {
            const auto* chosen = choose_endpoint({.endpoints = endpoints,
                                                  .versions = version,
                                                  .data_centre = data_centre,
                                                  .tried = tried,
                                                  .route = route,
                                                  .times = &times,
                                                  .useful_until = now + objective},
                                                 loads, now, random);
            ++picked[chosen == nullptr ? "none" : chosen->node.value];
        }
        for (auto& [node, count] : picked) {
            count = count * 100 / draws;
        }
        return picked;
    }

    route_id route{"browse"};
    std::vector<endpoint> endpoints{make_endpoint("a", "milan"), make_endpoint("b", "milan"),
                                    make_endpoint("c", "turin"), make_endpoint("d", "turin")};
    std::vector<node_id> tried;
    load_table loads;
    route_times times;
    random_source random{1};
    instant now{};
};

/// Load: a slow half second of one upstream. Its calls go to the other one here.
TEST(uneven_choice, avoids_a_slow_half_second_here) {
    uneven_fixture fixture;
    fixture.report("a", 1, 250);
    fixture.report("b", 1, 100);
    EXPECT_EQ(fixture.pick(milliseconds{400})["a"], 0);
    fixture.now += pace_lifetime;
    EXPECT_GE(fixture.pick(milliseconds{400})["a"], 45);
}

/// Load: a wave of demand fills the upstreams here to four fifths. Calls that end in time here
/// cross no link between data centres.
TEST(uneven_choice, stays_here_while_calls_end_in_time) {
    uneven_fixture fixture;
    for (const auto* node : {"a", "b"}) {
        fixture.report(node, 8, 105);
    }
    const auto picked = fixture.pick(milliseconds{400});
    EXPECT_FALSE(picked.contains("c") || picked.contains("d"));
}

/// Load: the same wave, with queues here in which calls miss their objective.
TEST(uneven_choice, goes_far_when_only_that_is_in_time) {
    uneven_fixture fixture;
    for (const auto* node : {"a", "b"}) {
        fixture.report(node, 18, 105, milliseconds{55});
    }
    const auto picked = fixture.pick(milliseconds{150});
    EXPECT_FALSE(picked.contains("a") || picked.contains("b"));
}

/// Load: a slow half second of all upstreams here; with free slots they would still be too late.
TEST(uneven_choice, goes_far_when_all_here_are_slow) {
    uneven_fixture fixture;
    for (const auto* node : {"a", "b"}) {
        fixture.report(node, 1, 250);
    }
    const auto picked = fixture.pick(milliseconds{150});
    EXPECT_FALSE(picked.contains("a") || picked.contains("b"));
    // With more time they are good enough.
    const auto patient = fixture.pick(milliseconds{400});
    EXPECT_FALSE(patient.contains("c") || patient.contains("d"));
}

/// Load: upstreams of 0.55 to 1.6 of the usual speed, seen through two routes of which one runs ten
/// times as long. Speeds are learnt whatever route the calls are of.
TEST(uneven_choice, learns_speeds_apart_from_routes) {
    uneven_fixture fixture;
    const std::map<std::string, double> slowness{{"a", 0.6}, {"b", 1.4}, {"c", 1.0}, {"d", 1.0}};
    for (int i = 0; i < 200; ++i) {
        for (const auto& [node, factor] : slowness) {
            const bool is_long = fixture.random() % 2 == 0;
            const auto usual = static_cast<double>((is_long ? usual_run * 10 : usual_run).count());
            note_answer_time(fixture.times, fixture.load(node),
                             is_long ? route_id("fetch") : fixture.route,
                             {.run_time = microseconds(static_cast<std::int64_t>(usual * factor)),
                              .way = milliseconds{2}},
                             fixture.now);
        }
    }
    EXPECT_NEAR(fixture.load("b").slowness / fixture.load("a").slowness, 1.4 / 0.6, 0.3);
    const auto run = expected_run(fixture.load("a"), fixture.times, fixture.route, fixture.now);
    EXPECT_GE(run, milliseconds{50});
    EXPECT_LE(run, milliseconds{75});
}

/// Load: one report of a free upstream among ten, read by 80 entries: few of them meet there.
TEST(uneven_choice, does_not_herd) {
    uneven_fixture fixture;
    fixture.endpoints.clear();
    fixture.loads.clear();
    for (int i = 0; i < 10; ++i) {
        const auto node = "n" + std::to_string(i);
        fixture.endpoints.push_back(make_endpoint(node, "milan"));
        auto& known = get_or_create_load(fixture.loads, fixture.endpoints.back(), start);
        known.latency = usual_run;
        fixture.report(node, i == 0 ? 0 : 6, i == 0 ? 60 : 110);
    }
    EXPECT_LE(fixture.pick(milliseconds{400})["n0"], 25);
}

/// Guards against a change for upstreams that state no pace.
TEST(even_choice, spills_over_by_the_share_of_slots) {
    uneven_fixture fixture;
    for (const auto* node : {"a", "b"}) {
        fixture.report(node, 8, usual_pace_percent);
    }
    const auto picked = fixture.pick(milliseconds{400});
    EXPECT_TRUE(picked.contains("c") && picked.contains("d"));
}

} // namespace
} // namespace cyclamenhatch::call
