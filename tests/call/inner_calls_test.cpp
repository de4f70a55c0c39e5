#include "call/inner_calls.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::call {
namespace {

constexpr instant start{microseconds(1'000'000'000)};
const route_id check("check");
const route_id fetch("fetch");
const service_id media("media");

/// A gate whose upstream runs ten calls with 150 ms between their deadlines.
gate_state make_busy_gate() {
    gate_state gate;
    for (std::uint64_t i = 0; i < 10; ++i) {
        gate.running.emplace(call_id{1, i},
                             running_call{.deadline = start + milliseconds{150 * (i + 1)}});
    }
    return gate;
}

/// Load: two of three calls to a service are made by upstreams while they run others, between calls
/// from outside that match a running call by chance.
TEST(inner_calls, are_told_by_their_route) {
    const auto gate = make_busy_gate();
    route_origins origins;
    for (std::uint32_t i = 0; i < 200; ++i) {
        const auto parent = start + milliseconds{150 * (i % 10 + 1)};
        note_origin(origins, check, media, runs_parent(gate, parent + milliseconds{i % 8}), start);
        note_origin(origins, fetch, media, runs_parent(gate, start + milliseconds{7 * i}), start);
    }
    EXPECT_TRUE(is_inner(origins, check));
    EXPECT_FALSE(is_inner(origins, fetch));
    forget_idle(origins, start + seconds{61});
    EXPECT_TRUE(origins.empty());
}

TEST(inner_calls, are_not_told_by_few) {
    route_origins origins;
    for (int i = 0; i < 10; ++i) {
        note_origin(origins, check, media, true, start);
    }
    EXPECT_FALSE(is_inner(origins, check));
}

/// Load: an upstream service that sheds 55%: calls from outside spend the retry budget. A part of
/// it is left for inner calls, and all together keep to the whole.
TEST(inner_calls, keep_a_part_of_the_retry_budget) {
    route_origins origins;
    for (int i = 0; i < 40; ++i) {
        note_origin(origins, check, media, true, start);
        note_origin(origins, fetch, media, false, start);
    }
    const budget_rules rules{.percent = 20, .slack = 10};
    retry_budget budget;
    for (int i = 0; i < 100; ++i) {
        note_first_attempt(budget, rules, start);
    }
    const auto spend = [&](const route_id& route) {
        int spent = 0;
        while (spend_retry(budget, rules_for(rules, origins, route, media), start)) {
            ++spent;
        }
        return spent;
    };
    EXPECT_EQ(spend(fetch), 21);
    EXPECT_EQ(spend(check), 9);
    // A service without inner calls keeps nothing back.
    EXPECT_EQ(rules_for(rules, origins, fetch, service_id("other")).percent, 20U);
}

} // namespace
} // namespace cyclamenhatch::call
