#include "call/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace cyclamenhatch::call {
namespace {

constexpr instant start{microseconds(1'000'000'000)};
constexpr std::uint32_t slots = 12;
constexpr microseconds run_time{100'000};
constexpr microseconds millisecond{1'000};
constexpr microseconds tick{10'000};
/// The users' bound: calls in any window of this length, as a multiple of the stated rate, plus a
/// slack.
constexpr microseconds window{4'000'000};
constexpr double allowed_share = 1.5;
constexpr std::size_t allowed_slack = 5;

struct refused_call {
    std::uint64_t number = 0;
    msg::refusal_reason reason = msg::refusal_reason::none;
    milliseconds retry_after{0};
};

/// A gate under calls that arrive evenly, stepped in virtual time. Answers state a rate.
struct limited_gate {
    explicit limited_gate(std::optional<double> rate) : stated(rate) {
        msg::upstream_record_msg upstream;
        upstream.service = "ledger";
        upstream.version = "v1";
        upstream.state = msg::upstream_state::ready;
        upstream.slots = slots;
        gate.settings.has_adaptive_limit = false;
        (void)on_upstream_change(gate, upstream, now);
        gate.limit.latency_us = static_cast<double>(run_time.count());
    }

    gate_request make_request(microseconds objective, microseconds deadline) {
        return {.call = {1, ++calls},
                .entry_node = node_id("entry"),
                .service = service_id("ledger"),
                .version = version_id("v1"),
                .owner = owner_id("members"),
                .deadline = now + deadline,
                .objective = now + objective,
                .route = route_id("browse")};
    }

    void carry_out(const gate_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* run = std::get_if<run_action>(&action)) {
                starts.push_back(now);
                ends.emplace_back(now + run_time, run->call);
            } else if (const auto* refusal = std::get_if<send_refusal_action>(&action)) {
                refused.push_back({refusal->refused.call->low(), refusal->refused.reason,
                                   milliseconds(refusal->refused.retry_after_ms)});
            }
        }
    }

    void open(const gate_request& request) { carry_out(on_open(gate, request, now)); }

    /// Answers what has ended by now.
    void answer_ended() {
        while (!ends.empty() && ends.front().first <= now) {
            const auto call = ends.front().second;
            ends.pop_front();
            carry_out(on_stated_rate(gate, call, stated, now));
            carry_out(on_upstream_end(gate, call, {.is_answered = true, .latency = run_time}, now));
        }
    }

    /// Runs for a time with this many calls a second.
    void run_for(microseconds span, double calls_per_s, microseconds objective = run_time * 8,
                 microseconds deadline = run_time * 30) {
        const auto until = now + span;
        const auto gap = microseconds(static_cast<std::int64_t>(1e6 / calls_per_s));
        auto next_call = now;
        auto next_tick = now;
        while (now < until) {
            answer_ended();
            if (now >= next_tick) {
                carry_out(on_gate_timer(gate, now));
                next_tick = now + tick;
            }
            if (now >= next_call) {
                open(make_request(objective, deadline));
                next_call += gap;
            }
            now += millisecond;
        }
    }

    /// The most starts in any window from this time on.
    [[nodiscard]] std::size_t most_in_window(instant from) const {
        std::size_t most = 0;
        for (auto first = starts.begin(); first != starts.end(); ++first) {
            if (*first >= from) {
                const auto last = std::lower_bound(first, starts.end(), *first + window);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

    [[nodiscard]] std::size_t count_starts(instant from, instant until) const {
        return static_cast<std::size_t>(std::count_if(
            starts.begin(), starts.end(), [&](instant at) { return at >= from && at < until; }));
    }

    gate_state gate;
    std::optional<double> stated;
    std::vector<instant> starts;
    std::deque<std::pair<instant, call_id>> ends;
    std::vector<refused_call> refused;
    std::uint64_t calls = 0;
    instant now = start;
};

std::size_t allowed(double rate) {
    return static_cast<std::size_t>(rate * allowed_share * 4) + allowed_slack;
}

struct rate_row {
    const char* name;
    double stated;
    double offered;

    friend std::ostream& operator<<(std::ostream& out, const rate_row& row) {
        return out << row.name;
    }
};

class stated_rate : public ::testing::TestWithParam<rate_row> {};

/// Guards against an upstream that gets more calls than the rate that it states (LIMIT).
TEST_P(stated_rate, holds_in_every_window) {
    const auto& row = GetParam();
    limited_gate fixture(row.stated);
    fixture.run_for(seconds{16}, row.offered);
    const auto from = start + seconds{3};
    EXPECT_LE(fixture.most_in_window(from), allowed(row.stated));
    // What the upstream takes is used.
    const auto used = fixture.count_starts(from, start + seconds{15});
    EXPECT_GE(static_cast<double>(used), std::min(row.stated, row.offered) * 12 * 0.9 - 1);
}

const rate_row rate_rows[] = {
    {"one_a_second", 1, 200},    {"decimal", 4.5, 200},        {"half_of_the_load", 30, 60},
    {"a_little_less", 57.5, 60}, {"more_than_slots", 500, 60}, {"hundreds", 110, 400},
    {"below_one", 0.5, 200},     {"as_offered", 60, 60},
};

INSTANTIATE_TEST_SUITE_P(rows, stated_rate, ::testing::ValuesIn(rate_rows),
                         [](const auto& row) { return std::string(row.param.name); });

/// Guards against too many calls for a rate that changes, whatever its course (LIMIT).
RC_GTEST_PROP(changing_rate, lets_no_more_calls_start_than_stated, ()) {
    const auto rates = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 300));
    limited_gate fixture(static_cast<double>(rates.front()));
    fixture.run_for(seconds{1}, 150);
    for (const auto rate : rates) {
        fixture.stated = rate;
        fixture.run_for(seconds{1}, 150);
        // The first answer that states the new rate comes a run later.
        const auto known_at = fixture.now;
        fixture.run_for(seconds{5}, 150);
        RC_ASSERT(fixture.most_in_window(known_at) <= allowed(rate));
    }
}

/// Guards against a limit that outlives the answers that state it.
TEST(lifted_rate, lets_calls_start_at_once) {
    limited_gate fixture(5.0);
    fixture.run_for(seconds{5}, 60);
    fixture.stated.reset();
    fixture.run_for(seconds{1}, 60);
    const auto from = fixture.now;
    fixture.run_for(seconds{2}, 60);
    EXPECT_GE(fixture.count_starts(from, fixture.now), 118U);
    EXPECT_FALSE(fixture.gate.rate.calls_per_s);
}

/// Guards against an older answer without a limit, still under way when the limit was stated, that
/// lifts it.
TEST(stated_limit, is_not_lifted_by_an_older_answer) {
    limited_gate fixture(std::nullopt);
    fixture.open(fixture.make_request(seconds{1}, seconds{3}));
    fixture.open(fixture.make_request(seconds{1}, seconds{3}));
    const auto first = fixture.ends[0].second;
    const auto second = fixture.ends[1].second;
    (void)on_stated_rate(fixture.gate, first, 5.0, start + run_time);
    (void)on_stated_rate(fixture.gate, second, std::nullopt, start + run_time * 2);
    EXPECT_EQ(fixture.gate.rate.calls_per_s, 5.0);
}

/// Guards against callers that wait for a start that comes after their deadline, or are sent back
/// to a time at which the rate allows none.
TEST(overload_of_a_rate, is_refused_at_once_with_the_time_of_the_next_start) {
    limited_gate fixture(4.0);
    fixture.run_for(seconds{3}, 60);
    fixture.refused.clear();
    const auto request = fixture.make_request(run_time * 3, run_time * 30);
    const auto wait = expected_route_wait(fixture.gate, request.route, fixture.now);
    fixture.open(request);
    ASSERT_EQ(fixture.refused.size(), 1U);
    EXPECT_EQ(fixture.refused[0].reason, msg::refusal_reason::rate_limited);
    EXPECT_GE(fixture.refused[0].retry_after, wait);
    EXPECT_GT(fixture.refused[0].retry_after, milliseconds{100});
    EXPECT_LE(fixture.refused[0].retry_after, wait + millisecond);
}

/// Guards against queued calls that more urgent ones overtake until their deadline has passed.
TEST(overtaken_calls, are_refused_before_their_deadline) {
    limited_gate fixture(2.0);
    fixture.run_for(seconds{2}, 60);
    const auto late = fixture.make_request(run_time / 2, seconds{2});
    const auto deadline = late.deadline;
    fixture.open(late);
    const auto number = late.call.low;
    while (fixture.now < deadline) {
        fixture.run_for(seconds{1} / 10, 60);
        const auto it = std::find_if(fixture.refused.begin(), fixture.refused.end(),
                                     [&](const auto& call) { return call.number == number; });
        if (it != fixture.refused.end()) {
            EXPECT_LT(fixture.now, deadline - run_time);
            EXPECT_EQ(it->reason, msg::refusal_reason::rate_limited);
            return;
        }
    }
    // It may also have been started in time.
    EXPECT_EQ(fixture.gate.memory.calls.at(late.call).state, memory_state::answered);
}

/// Guards against a call that skips the rate because nothing runs at the moment.
TEST(idle_gate, keeps_to_the_rate) {
    limited_gate fixture(1.0);
    fixture.run_for(seconds{3}, 60);
    fixture.run_for(seconds{1}, 0.5);
    fixture.refused.clear();
    auto request = fixture.make_request(seconds{1}, seconds{3});
    request.no_wait = true;
    // Take the token that may be left.
    fixture.open(fixture.make_request(seconds{1}, seconds{3}));
    fixture.open(request);
    ASSERT_FALSE(fixture.refused.empty());
    EXPECT_EQ(fixture.refused.back().reason, msg::refusal_reason::rate_limited);
}

/// Guards against a gate that forgets the rate with its restart, so that each restart lets a burst
/// through (LIMIT).
TEST(restarted_gate, keeps_to_the_rate_that_its_entries_know) {
    limited_gate fixture(std::nullopt);
    for (int i = 0; i < 12; ++i) {
        auto request = fixture.make_request(seconds{1}, seconds{3});
        request.known_calls_per_s = 1.0;
        fixture.open(request);
    }
    EXPECT_EQ(fixture.starts.size(), 1U);
    // The first answer of the upstream itself decides.
    (void)on_stated_rate(fixture.gate, fixture.ends.front().second, std::nullopt, start + run_time);
    EXPECT_FALSE(fixture.gate.rate.calls_per_s);
    auto request = fixture.make_request(seconds{1}, seconds{3});
    request.known_calls_per_s = 1.0;
    fixture.open(request);
    EXPECT_FALSE(fixture.gate.rate.calls_per_s);
}

/// Guards against a rate, or a leave, that is carried over to another run of the upstream.
TEST(another_run, states_its_own_rate) {
    limited_gate fixture(2.0);
    fixture.run_for(seconds{1}, 60);
    (void)on_upstream_leaving(fixture.gate, fixture.now);
    begin_upstream_run(fixture.gate);
    EXPECT_FALSE(fixture.gate.rate.calls_per_s);
    EXPECT_FALSE(find_closed_reason(fixture.gate));
}

/// Guards against calls to an upstream that has said in an answer that it leaves (DRAIN).
TEST(leaving_upstream, gets_no_more_calls) {
    limited_gate fixture(std::nullopt);
    fixture.open(fixture.make_request(seconds{1}, seconds{3}));
    (void)on_upstream_leaving(fixture.gate, start);
    fixture.open(fixture.make_request(seconds{1}, seconds{3}));
    EXPECT_EQ(fixture.starts.size(), 1U);
    ASSERT_EQ(fixture.refused.size(), 1U);
    EXPECT_EQ(fixture.refused[0].reason, msg::refusal_reason::draining);
    // A record that still says ready changes nothing.
    msg::upstream_record_msg upstream;
    upstream.service = "ledger";
    upstream.version = "v1";
    upstream.state = msg::upstream_state::ready;
    upstream.slots = slots;
    (void)on_upstream_change(fixture.gate, upstream, start);
    fixture.open(fixture.make_request(seconds{1}, seconds{3}));
    EXPECT_EQ(fixture.starts.size(), 1U);
}

/// Guards against urgent calls that wait behind others for the starts that a rate allows.
TEST(order_under_a_rate, is_that_of_the_slots) {
    limited_gate fixture(10.0);
    fixture.run_for(seconds{1}, 60);
    std::map<std::uint64_t, std::uint32_t> priorities;
    for (const std::uint32_t priority : {5U, 0U}) {
        auto request = fixture.make_request(seconds{2}, seconds{4});
        request.priority = priority;
        request.route = route_id("priority-" + std::to_string(priority));
        priorities[request.call.low] = priority;
        fixture.open(request);
    }
    std::vector<std::uint32_t> order;
    for (int i = 0; i < 3000 && order.size() < 2; ++i) {
        fixture.now += millisecond;
        const auto known = fixture.ends.size();
        fixture.carry_out(on_gate_timer(fixture.gate, fixture.now));
        for (auto at = known; at < fixture.ends.size(); ++at) {
            const auto it = priorities.find(fixture.ends[at].second.low);
            if (it != priorities.end()) {
                order.push_back(it->second);
            }
        }
        fixture.answer_ended();
    }
    EXPECT_EQ(order, (std::vector<std::uint32_t>{0, 5}));
}

} // namespace
} // namespace cyclamenhatch::call
