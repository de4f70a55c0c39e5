#include "call/admission.h"
#include "call/entry_call.h"
#include "edge/call_headers.h"
#include "edge/http_message.h"

#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

/// What callers are told when a call ends without an upstream's answer.
namespace cyclamenhatch::edge::testing {
namespace {

using call::entry_event;
using call::refusal;
using msg::call_outcome;
using msg::refusal_reason;

constexpr instant opened_at{microseconds(1'000'000'000)};

struct end_row {
    const char* name;
    /// Events after the call was opened, in order.
    std::vector<entry_event> events;
    unsigned status;
    bool has_endpoint = true;
    bool is_idempotent = false;
    /// When the events arrive, after the request.
    microseconds age{10'000};
    microseconds time_allowed{1'000'000};

    friend std::ostream& operator<<(std::ostream& out, const end_row& row) {
        return out << row.name;
    }
};

/// How one call at an entry ends; it is tried once only.
struct ended_call {
    call::entry_call state;
    call::retry_budget budget;
    std::uint64_t opened = 0;
    std::optional<refusal> end;

    void handle(const entry_event& event, bool has_endpoint, instant now) {
        const std::function<std::optional<call::attempt_target>(const std::vector<node_id>&)>
            choose =
                [&](const std::vector<node_id>& /*tried*/) -> std::optional<call::attempt_target> {
            if (!has_endpoint || opened > 0) {
                return std::nullopt;
            }
            return call::attempt_target{.call = {1, ++opened}, .node = node_id("gate")};
        };
        for (const auto& action : call::advance(state, event, {budget, choose, now, {}})) {
            if (const auto* failed = std::get_if<call::fail_action>(&action)) {
                end = failed->details;
            }
        }
    }
};

entry_event refused(refusal_reason reason, call_outcome outcome, bool retry_helps = true) {
    return call::refused_event{
        .call = {1, 1},
        .details = {.outcome = outcome, .reason = reason, .retry_helps = retry_helps}};
}

class ended : public ::testing::TestWithParam<end_row> {};

/// Guards against a caller that is told "may have run" about a call that no upstream got: one that
/// may not be repeated is lost by it.
TEST_P(ended, call_is_answered_truthfully) {
    const auto& row = GetParam();
    ended_call ending;
    ending.state.deadline = opened_at + row.time_allowed;
    ending.state.is_idempotent = row.is_idempotent;
    ending.state.max_attempts = 3;
    ending.handle(call::request_event{}, row.has_endpoint, opened_at);
    for (const auto& event : row.events) {
        ending.handle(event, row.has_endpoint, opened_at + row.age);
    }
    ASSERT_TRUE(ending.end);
    const header_names names;
    const auto answer = make_failure(names, *ending.end);
    EXPECT_EQ(answer.head.status, row.status);
    EXPECT_EQ(find_header(answer.head.headers, names.outcome),
              row.status == 503 ? "not-run" : "unknown");
    if (row.status == 503) {
        EXPECT_FALSE(find_header(answer.head.headers, "Retry-After").empty());
        EXPECT_GT(ending.end->retry_after.count(), 0);
    }
}

const end_row end_rows[] = {
    {.name = "no_time_left", .events = {}, .status = 503, .time_allowed = microseconds{0}},
    {.name = "no_endpoint", .events = {}, .status = 503, .has_endpoint = false},
    {.name = "too_little_time_at_the_gate",
     .events = {refused(refusal_reason::deadline, call_outcome::not_run, false)},
     .status = 503},
    {.name = "deadline_while_queued",
     .events = {refused(refusal_reason::deadline, call_outcome::not_run, false)},
     .status = 503,
     .age = seconds{2}},
    {.name = "refused_after_the_deadline",
     .events = {refused(refusal_reason::busy, call_outcome::not_run)},
     .status = 503,
     .age = seconds{2}},
    {.name = "queue_full",
     .events = {refused(refusal_reason::queue_full, call_outcome::not_run)},
     .status = 503},
    {.name = "busy",
     .events = {refused(refusal_reason::busy, call_outcome::not_run)},
     .status = 503},
    {.name = "rate_limited",
     .events = {refused(refusal_reason::rate_limited, call_outcome::not_run)},
     .status = 503},
    {.name = "delayed",
     .events = {refused(refusal_reason::delayed, call_outcome::not_run)},
     .status = 503},
    {.name = "draining",
     .events = {refused(refusal_reason::draining, call_outcome::not_run)},
     .status = 503},
    {.name = "endpoint_not_ready",
     .events = {refused(refusal_reason::no_endpoint, call_outcome::not_run)},
     .status = 503},
    {.name = "other_version",
     .events = {refused(refusal_reason::wrong_version, call_outcome::not_run)},
     .status = 503},
    {.name = "gate_unreachable",
     .events = {refused(refusal_reason::upstream_unreachable, call_outcome::not_run)},
     .status = 503},
    {.name = "rejected_by_the_upstream",
     .events = {refused(refusal_reason::upstream_refused, call_outcome::not_run)},
     .status = 503},
    {.name = "other_upstream_at_the_address",
     .events = {refused(refusal_reason::wrong_instance, call_outcome::not_run)},
     .status = 503},
    {.name = "held",
     .events = {refused(refusal_reason::quarantined, call_outcome::not_run, false)},
     .status = 503},
    {.name = "cancelled_before_its_open_arrived",
     .events = {refused(refusal_reason::duplicate, call_outcome::not_run)},
     .status = 503},
    {.name = "upstream_broke_off",
     .events = {refused(refusal_reason::upstream_unreachable, call_outcome::unknown)},
     .status = 504},
    {.name = "deadline_while_at_the_gate",
     .events = {call::timer_event{}},
     .status = 504,
     .age = seconds{2}},
    {.name = "gate_gone", .events = {call::endpoint_gone_event{node_id("gate")}}, .status = 504},
    {.name = "entry_stops_under_it", .events = {call::node_stops_event{}}, .status = 504},
    {.name = "not_run_after_one_that_may_have",
     .events = {call::endpoint_gone_event{node_id("gate")}},
     .status = 504,
     .is_idempotent = true},
};

INSTANTIATE_TEST_SUITE_P(rows, ended, ::testing::ValuesIn(end_rows),
                         [](const auto& row) { return std::string(row.param.name); });

/// Guards against a reason that changes what is promised.
TEST(failure, status_follows_the_outcome_for_each_reason) {
    const header_names names;
    for (const auto reason : msg::EnumValuesrefusal_reason()) {
        if (reason == refusal_reason::no_route) {
            continue;
        }
        EXPECT_LT(
            make_failure(names, {.outcome = call_outcome::not_run, .reason = reason}).head.status,
            504U)
            << msg::EnumNamerefusal_reason(reason);
        EXPECT_EQ(
            make_failure(names, {.outcome = call_outcome::unknown, .reason = reason}).head.status,
            504U)
            << msg::EnumNamerefusal_reason(reason);
    }
}

} // namespace
} // namespace cyclamenhatch::edge::testing
