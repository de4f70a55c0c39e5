#include "call/admission.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::call {
namespace {

constexpr instant start{microseconds(1'000'000'000)};
constexpr std::uint32_t slots = 4;
constexpr microseconds usual_run{100'000};

/// A gate with all slots taken by calls that usually take 100 ms.
struct busy_gate {
    busy_gate() {
        msg::upstream_record_msg upstream;
        upstream.service = "ledger";
        upstream.version = "v1";
        upstream.state = msg::upstream_state::ready;
        upstream.slots = slots;
        gate.settings.has_adaptive_limit = false;
        (void)on_upstream_change(gate, upstream, start);
        gate.limit.latency_us = static_cast<double>(usual_run.count());
        for (std::uint32_t each = 0; each < slots; ++each) {
            (void)on_open(gate, make_request("hold", seconds{5}, seconds{5}), start);
        }
    }

    gate_request make_request(const std::string& route, microseconds objective,
                              microseconds deadline) {
        return {.call = {1, ++calls},
                .from = node_id("entry"),
                .service = service_id("ledger"),
                .version = version_id("v1"),
                .owner = owner_id("members"),
                .deadline = start + deadline,
                .objective = start + objective,
                .route = route_id(route)};
    }

    /// Opens a call; the reason of its refusal, or none when it runs or waits.
    msg::refusal_reason open(const gate_request& request) {
        for (const auto& each : on_open(gate, request, start)) {
            if (const auto* told = std::get_if<tell_refusal_action>(&each)) {
                return told->refused.reason;
            }
        }
        return msg::refusal_reason::none;
    }

    /// Ends the oldest running call; the call that starts in its place.
    std::optional<call_id> next_start(instant now) {
        const auto ending = gate.running.begin()->first;
        for (const auto& each : on_upstream_end(gate, ending, {.is_answered = true}, now)) {
            if (const auto* run = std::get_if<run_action>(&each)) {
                return run->call;
            }
        }
        return std::nullopt;
    }

    gate_state gate;
    std::uint64_t calls = 0;
};

TEST(burst, calls_that_would_miss_their_objective_are_refused_at_once) {
    busy_gate of;
    int waiting = 0;
    while (of.open(of.make_request("browse", milliseconds{300}, seconds{3})) ==
           msg::refusal_reason::none) {
        ++waiting;
    }
    // A slot is freed each 25 ms, and the run itself takes 100 ms of the 300.
    EXPECT_GE(waiting, 6);
    EXPECT_LE(waiting, 8);
    EXPECT_GT(wait_in_ms(of.gate), milliseconds{100});
}

TEST(burst, late_calls_wait_behind_few_others_only) {
    busy_gate of;
    const auto late = [&] { return of.make_request("browse", milliseconds{50}, seconds{3}); };
    EXPECT_EQ(of.open(late()), msg::refusal_reason::none);
    EXPECT_EQ(of.open(late()), msg::refusal_reason::none);
    EXPECT_EQ(of.open(late()), msg::refusal_reason::queue_full);
    // One that can still be in time is taken, and starts before them.
    const auto in_time = of.make_request("browse", milliseconds{300}, seconds{3});
    EXPECT_EQ(of.open(in_time), msg::refusal_reason::none);
    EXPECT_EQ(of.next_start(start + milliseconds{25}), in_time.call);
}

/// Calls of a route that states no objective wait beside a stream of calls that do.
TEST(lasting_burst, starves_no_call_that_was_taken) {
    busy_gate of;
    auto plain = of.make_request("plain", seconds{1}, milliseconds{900});
    plain.objective.reset();
    ASSERT_EQ(of.open(plain), msg::refusal_reason::none);
    instant now = start;
    std::optional<instant> started;
    while (!started && now < plain.deadline) {
        now += milliseconds{25};
        for (int each = 0; each < 2; ++each) {
            auto next = of.make_request("browse", milliseconds{300}, seconds{3});
            next.objective = now + milliseconds{300};
            next.deadline = now + seconds{3};
            (void)on_open(of.gate, next, now);
        }
        if (of.next_start(now) == plain.call) {
            started = now;
        }
    }
    ASSERT_TRUE(started);
    EXPECT_LE(*started + usual_run, plain.deadline);
}

TEST(inner_calls, with_a_short_objective_start_first) {
    busy_gate of;
    ASSERT_EQ(of.open(of.make_request("hold", milliseconds{600}, seconds{4})),
              msg::refusal_reason::none);
    const auto inner = of.make_request("lookup", milliseconds{180}, milliseconds{500});
    ASSERT_EQ(of.open(inner), msg::refusal_reason::none);
    EXPECT_EQ(of.next_start(start + milliseconds{25}), inner.call);
}

TEST(spread_of_work, an_entry_that_knows_other_gates_is_refused_without_a_wait) {
    busy_gate of;
    auto request = of.make_request("browse", milliseconds{300}, seconds{3});
    request.no_wait = true;
    EXPECT_EQ(of.open(request), msg::refusal_reason::busy);
}

TEST(hopeless_calls, are_refused_when_their_deadline_cannot_be_met) {
    busy_gate of;
    EXPECT_EQ(of.open(of.make_request("browse", milliseconds{90}, milliseconds{90})),
              msg::refusal_reason::deadline);
}

TEST(routes_of_different_length, are_measured_apart) {
    busy_gate of;
    of.gate.run_times[route_id("quick")] = milliseconds{10};
    EXPECT_EQ(expected_run(of.gate, route_id("quick")), milliseconds{10});
    EXPECT_EQ(expected_run(of.gate, route_id("new")), usual_run);
}

} // namespace
} // namespace cyclamenhatch::call
