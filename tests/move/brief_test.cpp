#include "move/brief.h"

#include <gtest/gtest.h>

#include <cmath>
#include <ostream>
#include <random>

namespace cyclamenhatch::moves {
namespace {

constexpr instant begun{microseconds(1'000'000'000)};
constexpr seconds move_time{16};

move make_move() {
    move planned;
    planned.name = move_id("m1");
    planned.service = service_id("ledger");
    planned.new_version = version_id("v2");
    planned.duration = move_time;
    planned.deadline = begun + move_time;
    return planned;
}

/// How the new version fails: since when, in which fraction of its calls, by errors or latency.
struct brief_fault {
    const char* name;
    bool is_bad = false;
    double error_share = 0;
    double slow_share = 0;
    double from_s = 0;
    /// Appears on one of the two routes only.
    bool on_one_route = false;
    /// Appears only from this share of the calls on.
    std::uint32_t from_permille = 0;
    /// Errors of both versions, from 4 s to 9 s.
    double shared_errors = 0;
    /// The new endpoints take twice as long for their first 3 s.
    bool is_cold = false;

    friend std::ostream& operator<<(std::ostream& out, const brief_fault& row) {
        return out << row.name;
    }
};

struct brief_end {
    bool is_taken_back = false;
    bool is_done = false;
    double at_s = 0;
    double calls_on_new = 0;
    double calls = 0;
};

/// A service with two routes, of which one takes three times as long as the other.
struct brief_simulation {
    brief_simulation(const brief_fault& simulated_fault, double rate, std::uint64_t seed)
        : fault(simulated_fault), calls_per_s(rate), random(seed) {}

    brief_fault fault;
    double calls_per_s;
    std::mt19937_64 random;
    move planned = make_move();
    attempt_record record;
    control_state controller;
    report seen;
    brief_end end;

    double draw() { return std::uniform_real_distribution<double>(0, 1)(random); }

    void call(const std::string& route, double usual_ms, double at_s) {
        const std::uint32_t share = record.granted ? record.granted->permille : 0;
        const bool is_new = draw() * 1000 < share;
        const bool shows = is_new && at_s >= fault.from_s && share >= fault.from_permille &&
                           (!fault.on_one_route || route == "second");
        const bool is_shared = at_s >= 4 && at_s < 9 && draw() < fault.shared_errors;
        const bool is_error = is_shared || draw() < 0.003 || (shows && draw() < fault.error_share);
        double latency_ms = usual_ms * std::exp(0.4 * std::normal_distribution<double>()(random));
        latency_ms *= shows && draw() < fault.slow_share ? 8 : 1;
        latency_ms *= is_new && fault.is_cold && at_s < 3 ? 2 : 1;
        auto& totals = seen.routes[route_id(route)];
        ++(is_new ? totals.new_calls : totals.old_calls);
        end.calls += 1;
        end.calls_on_new += is_new ? 1 : 0;
        if (is_error) {
            ++(is_new ? totals.new_errors : totals.old_errors);
            return;
        }
        const auto bucket =
            latency_bucket(microseconds(static_cast<std::int64_t>(latency_ms * 1000)));
        ++(is_new ? totals.new_latency : totals.old_latency).at(bucket);
    }

    void run() {
        seen.source = "all";
        seen.begun = begun;
        constexpr double step_s = 0.1;
        double pending_calls = 0;
        for (double at_s = 0; at_s < 16 && !end.is_done && !end.is_taken_back; at_s += step_s) {
            for (pending_calls += calls_per_s * step_s; pending_calls >= 1; pending_calls -= 1) {
                const bool is_first = draw() < 0.7;
                call(is_first ? "first" : "second", is_first ? 40 : 120, at_s);
            }
            const auto now = begun + microseconds(static_cast<std::int64_t>(at_s * 1e6));
            seen.sequence = static_cast<std::uint64_t>(to_unix_ms(now));
            accept(controller.collected, seen, now);
            const control_facts facts{.planned = planned,
                                      .record = record,
                                      .ready = {.on_new = 24, .on_old = 72},
                                      .self = node_id("n1"),
                                      .single_veto_suffices = true};
            const auto decided = decide_brief(controller, facts, now);
            if (const auto* granted = std::get_if<permit>(&decided)) {
                merge(record, *granted);
            }
            end.is_taken_back = std::holds_alternative<veto>(decided);
            end.is_done = std::holds_alternative<finish>(decided);
            end.at_s = at_s;
        }
    }
};

class brief_moves : public ::testing::TestWithParam<brief_fault> {};

/// Good versions are done before the deadline and bad ones are taken back. A bad version receives
/// at most a tenth of all calls plus fifty.
TEST_P(brief_moves, end_with_the_expected_outcome) {
    constexpr int runs = 100;
    for (const double rate : {130.0, 250.0, 500.0}) {
        for (int seed = 1; seed <= runs; ++seed) {
            brief_simulation simulation(GetParam(), rate, static_cast<std::uint64_t>(seed));
            simulation.run();
            EXPECT_EQ(simulation.end.is_taken_back, GetParam().is_bad)
                << "seed " << seed << " " << rate;
            EXPECT_EQ(simulation.end.is_done, !GetParam().is_bad) << "seed " << seed << " " << rate;
            EXPECT_LT(simulation.end.at_s, 15) << "seed " << seed;
            if (GetParam().is_bad) {
                // The traffic goes on for a moment after the verdict.
                const double share =
                    simulation.record.granted ? simulation.record.granted->permille / 1000.0 : 0;
                const double met = simulation.end.calls_on_new + rate * share * 0.5;
                EXPECT_LE(met, 0.1 * rate * 16 + 50) << "seed " << seed << " " << rate;
            }
        }
    }
}

const brief_fault brief_rows[] = {
    {.name = "good"},
    {.name = "good_but_cold", .is_cold = true},
    {.name = "good_beside_errors_of_both", .shared_errors = 0.3},
    {.name = "errors", .is_bad = true, .error_share = 0.5},
    {.name = "fewer_errors", .is_bad = true, .error_share = 0.25},
    {.name = "slow", .is_bad = true, .slow_share = 0.8},
    {.name = "half_slow", .is_bad = true, .slow_share = 0.5},
    {.name = "one_route", .is_bad = true, .error_share = 0.5, .on_one_route = true},
    {.name = "late", .is_bad = true, .error_share = 0.5, .from_s = 5},
    {.name = "later", .is_bad = true, .error_share = 0.5, .from_s = 8},
    {.name = "under_load", .is_bad = true, .error_share = 0.5, .from_permille = 250},
    {.name = "under_half_load", .is_bad = true, .error_share = 0.5, .from_permille = 500},
    {.name = "under_full_load", .is_bad = true, .error_share = 0.5, .from_permille = 1000},
    {.name = "slow_under_full_load", .is_bad = true, .slow_share = 0.8, .from_permille = 1000},
};

INSTANTIATE_TEST_SUITE_P(versions, brief_moves, ::testing::ValuesIn(brief_rows),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(brief_moves, wait_for_endpoints_and_are_taken_back_without_any) {
    control_state controller;
    const auto planned = make_move();
    const attempt_record record;
    const auto decide_at = [&](milliseconds elapsed, std::uint32_t slots) {
        const control_facts facts{.planned = planned,
                                  .record = record,
                                  .ready = {.on_new = slots, .on_old = 10},
                                  .self = node_id("n1")};
        return decide_brief(controller, facts, begun + elapsed);
    };
    EXPECT_TRUE(std::holds_alternative<std::monostate>(decide_at(milliseconds{500}, 0)));
    EXPECT_TRUE(std::holds_alternative<permit>(decide_at(milliseconds{600}, 5)));
    EXPECT_TRUE(std::holds_alternative<veto>(decide_at(milliseconds{15'500}, 0)));
}

TEST(brief_moves, are_shorter_than_the_limit) {
    auto planned = make_move();
    EXPECT_TRUE(is_brief(planned));
    planned.duration = seconds{90};
    EXPECT_FALSE(is_brief(planned));
    planned.duration = {};
    EXPECT_FALSE(is_brief(planned));
}

} // namespace
} // namespace cyclamenhatch::moves
