#include "call/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenhatch::call {
namespace {

constexpr instant start{microseconds(1'000'000'000)};
constexpr microseconds millisecond{1'000};
constexpr microseconds second{1'000'000};
constexpr microseconds run_time{100'000};
constexpr milliseconds warm_up_time{3'000};
/// How long a call is on its way from the gate to the upstream.
constexpr microseconds way{2'000};
/// The users' bound: calls in any second, as a multiple of the rate, plus a slack.
constexpr double allowed_share = 1.5;
constexpr double allowed_slack = 8;

msg::upstream_record_msg make_upstream(milliseconds cold_for) {
    msg::upstream_record_msg upstream;
    upstream.service = "ledger";
    upstream.version = "v1";
    upstream.state = msg::upstream_state::ready;
    upstream.slots = 12;
    upstream.cold_ms = static_cast<std::uint32_t>(cold_for.count());
    return upstream;
}

struct refused_call {
    instant at{};
    msg::refusal_reason reason = msg::refusal_reason::none;
    milliseconds retry_after{0};
};

/// A gate and its upstream in virtual time. The upstream knows when it is cold; the gate only what
/// it is told.
struct warmed_gate {
    explicit warmed_gate(double calls_per_s) : rate(calls_per_s) { restart_gate(); }

    void restart_gate() {
        gate = gate_state();
        gate.settings.has_adaptive_limit = false;
        ends.clear();
        (void)on_warm_up_terms(gate, warm_up_terms{rate, warm_up_time}, now);
        announce();
    }

    [[nodiscard]] milliseconds cold_left() const {
        return std::chrono::ceil<milliseconds>(std::max(cold_until - now, microseconds{0}));
    }

    void announce() {
        // A gate hears of its upstream before it lets a call start.
        carry_out(on_upstream_change(gate, make_upstream(cold_left()), now));
        gate.limit.latency_us = static_cast<double>(run_time.count());
    }

    /// The upstream becomes cold and says so at once, also when it runs calls.
    void become_cold() {
        for (const auto at : starts) {
            if (at + way >= now && at + way >= cold_until) {
                arrivals.push_back(at + way);
            }
        }
        cold_until = now + warm_up_time;
        announce();
    }

    void restart_upstream() {
        begin_upstream_run(gate);
        become_cold();
    }

    void carry_out(const gate_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* run = std::get_if<run_action>(&action)) {
                starts.push_back(now);
                if (now + way < cold_until) {
                    arrivals.push_back(now + way);
                }
                ends.emplace_back(now + run_time, run->call);
            } else if (const auto* refusal = std::get_if<send_refusal_action>(&action)) {
                refused.push_back(
                    {now, refusal->refused.reason, milliseconds(refusal->refused.retry_after_ms)});
            }
        }
    }

    void open(microseconds objective, bool no_wait = false) {
        carry_out(on_open(gate,
                          {.call = {1, ++calls},
                           .entry_node = node_id("entry"),
                           .service = service_id("ledger"),
                           .version = version_id("v1"),
                           .owner = owner_id("members"),
                           .deadline = now + objective * 3,
                           .objective = now + objective,
                           .no_wait = no_wait,
                           .route = route_id("browse")},
                          now));
    }

    void run_for(microseconds span, double calls_per_s, microseconds objective = run_time * 8) {
        const auto until = now + span;
        const auto gap = microseconds(static_cast<std::int64_t>(1e6 / calls_per_s));
        auto next_call = now;
        for (std::int64_t tick = 0; now < until; now += millisecond, ++tick) {
            while (!ends.empty() && ends.front().first <= now) {
                const auto call = ends.front().second;
                ends.pop_front();
                carry_out(
                    on_upstream_end(gate, call, {.is_answered = true, .latency = run_time}, now));
            }
            if (tick % 10 == 0) {
                carry_out(on_gate_timer(gate, now));
            }
            if (now >= next_call) {
                open(objective);
                next_call += gap;
            }
        }
    }

    /// The most arrivals at the cold upstream in any second.
    [[nodiscard]] double most_in_second() const {
        std::ptrdiff_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            most = std::max(most, std::lower_bound(first, arrivals.end(), *first + second) - first);
        }
        return static_cast<double>(most);
    }

    [[nodiscard]] double allowed() const { return rate * allowed_share + allowed_slack; }

    double rate;
    gate_state gate;
    instant now = start;
    instant cold_until{};
    std::vector<instant> starts;
    /// At the cold upstream.
    std::vector<instant> arrivals;
    std::deque<std::pair<instant, call_id>> ends;
    std::vector<refused_call> refused;
    std::uint64_t calls = 0;
};

/// Guards against more calls in any second than a cold upstream takes, whatever happens to it, to
/// the gate and to the load (FAILBACK).
RC_GTEST_PROP(cold_upstream, gets_no_more_than_its_rate_in_any_second, ()) {
    const auto rate = static_cast<double>(*rc::gen::inRange(2, 60));
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        12, rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(1, 300)));
    warmed_gate fixture(rate);
    for (const auto& [step, load] : steps) {
        switch (step) {
        case 0:
            fixture.become_cold();
            break;
        case 1:
            fixture.restart_gate();
            break;
        case 2:
            fixture.restart_upstream();
            break;
        case 3:
            fixture.announce();
            break;
        default:
            break;
        }
        fixture.run_for(millisecond * (300 + load * 7), load);
    }
    RC_ASSERT(fixture.most_in_second() <= fixture.allowed());
}

struct load_row {
    const char* name;
    /// Load on one upstream before and after the event, in calls a second.
    double before;
    double after;
    void (*event)(warmed_gate&);
    /// Calls that start while it is cold.
    double least_started;

    friend std::ostream& operator<<(std::ostream& out, const load_row& row) {
        return out << row.name;
    }
};

class warm_up_load : public ::testing::TestWithParam<load_row> {};

/// Guards against a crash of an upstream that is cold, and against one that gets nothing
/// (FAILBACK).
TEST_P(warm_up_load, keeps_the_rate_and_uses_it) {
    const auto& row = GetParam();
    warmed_gate fixture(8.9);
    fixture.run_for(second * 3, row.before);
    row.event(fixture);
    const auto from = fixture.now;
    fixture.run_for(microseconds(warm_up_time), row.after);
    EXPECT_LE(fixture.most_in_second(), fixture.allowed() - 5);
    const auto started = std::count_if(fixture.starts.begin(), fixture.starts.end(),
                                       [&](instant at) { return at >= from; });
    EXPECT_GE(static_cast<double>(started), row.least_started);
    // Warm again, it takes the whole load.
    fixture.run_for(second, row.after);
    const auto warm_from = fixture.now;
    fixture.refused.clear();
    fixture.run_for(second, row.after);
    EXPECT_TRUE(fixture.refused.empty());
    EXPECT_GE(std::count_if(fixture.starts.begin(), fixture.starts.end(),
                            [&](instant at) { return at >= warm_from; }),
              static_cast<std::ptrdiff_t>(row.after * 0.9));
}

const load_row load_rows[] = {
    {"a_third_is_released_under_full_load", 45, 45,
     [](warmed_gate& fixture) { fixture.restart_upstream(); }, 24},
    {"a_data_centre_comes_back_cold", 0.1, 90,
     [](warmed_gate& fixture) { fixture.restart_upstream(); }, 24},
    {"all_at_once_without_a_new_run", 45, 100, [](warmed_gate& fixture) { fixture.become_cold(); },
     22},
    {"beside_a_restart_of_the_gate", 45, 100,
     [](warmed_gate& fixture) {
         fixture.become_cold();
         fixture.run_for(millisecond * 500, 100);
         fixture.restart_gate();
     },
     20},
    {"less_than_its_rate", 5, 5, [](warmed_gate& fixture) { fixture.restart_upstream(); }, 14},
};

INSTANTIATE_TEST_SUITE_P(rows, warm_up_load, ::testing::ValuesIn(load_rows),
                         [](const auto& row) { return std::string(row.param.name); });

/// Guards against callers that wait for a start that comes too late, or that come back together.
TEST(cold_upstream, refuses_at_once_with_different_times_to_come_back) {
    warmed_gate fixture(8.9);
    fixture.restart_upstream();
    for (int i = 0; i < 40; ++i) {
        fixture.open(run_time * 2, true);
    }
    ASSERT_GT(fixture.refused.size(), 30U);
    std::vector<milliseconds> told;
    for (const auto& call : fixture.refused) {
        EXPECT_EQ(call.reason, msg::refusal_reason::warming_up);
        EXPECT_GE(call.retry_after, milliseconds{1});
        EXPECT_LE(call.retry_after, milliseconds{1'000});
        told.push_back(call.retry_after);
    }
    // As far apart as the starts.
    for (std::size_t i = 1; i < 5; ++i) {
        EXPECT_GE(told[i] - told[i - 1], milliseconds{110});
    }
    EXPECT_EQ(rate_in_force(fixture.gate, fixture.now), 8.9);
}

/// Guards against an upstream that came back unseen and is called as if it were warm.
TEST(doubt, limits_until_the_upstream_says_that_it_is_warm) {
    warmed_gate fixture(8.9);
    fixture.open(second);
    (void)on_upstream_end(fixture.gate, {1, 1}, {.is_not_run = true}, fixture.now);
    EXPECT_TRUE(is_cold(fixture.gate.warm, fixture.now));
    EXPECT_EQ(cold_left(fixture.gate.warm, fixture.now), warm_up_time);
    fixture.announce();
    EXPECT_FALSE(is_cold(fixture.gate.warm, fixture.now));
    note_doubt(fixture.gate.warm, cold_reason::evacuation_withdrawn, fixture.now);
    EXPECT_TRUE(is_cold(fixture.gate.warm, fixture.now));
    fixture.now += microseconds(warm_up_time);
    EXPECT_FALSE(is_cold(fixture.gate.warm, fixture.now));
}

/// Guards against a full rate at a gate that doesn't know yet how fast its service's cold upstreams
/// may be called.
TEST(unknown_terms, let_no_call_start_while_cold) {
    warmed_gate fixture(8.9);
    fixture.gate.warm = {};
    fixture.become_cold();
    fixture.open(run_time * 2, true);
    EXPECT_TRUE(fixture.starts.empty());
    ASSERT_EQ(fixture.refused.size(), 1U);
    EXPECT_EQ(fixture.refused[0].reason, msg::refusal_reason::warming_up);
}

/// Guards against a change for services that state no rate.
TEST(service_without_a_warm_up_rate, is_not_limited) {
    warmed_gate fixture(0);
    fixture.restart_upstream();
    fixture.run_for(second, 100);
    EXPECT_TRUE(fixture.refused.empty());
    EXPECT_GE(fixture.starts.size(), 99U);
    EXPECT_FALSE(rate_in_force(fixture.gate, fixture.now));
    EXPECT_EQ(cold_left(fixture.gate.warm, fixture.now), milliseconds{0});
}

/// Guards against a leave, whose record repeats what the last announcement said, that is taken for
/// a cold upstream.
TEST(leaving_upstream, is_not_cold_by_its_last_record) {
    warmed_gate fixture(8.9);
    auto record = make_upstream(warm_up_time);
    record.state = msg::upstream_state::gone;
    (void)on_upstream_change(fixture.gate, record, fixture.now);
    EXPECT_FALSE(is_cold(fixture.gate.warm, fixture.now));
}

/// Guards against a cold upstream that gets more than the rate that it states itself.
TEST(lower_rate, binds) {
    warmed_gate fixture(8.9);
    fixture.restart_upstream();
    set_rate(fixture.gate.rate, 2.0, fixture.now);
    EXPECT_EQ(rate_in_force(fixture.gate, fixture.now), 2.0);
    fixture.run_for(second * 2, 100);
    EXPECT_LE(fixture.starts.size(), 6U);
}

} // namespace
} // namespace cyclamenhatch::call
