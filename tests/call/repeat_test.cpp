#include "call/entry_call.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace cyclamenhatch::call {
namespace {

/// How a gate refuses an attempt.
enum class gate_end { broke_off, busy, unsent, held };

struct attempt_row {
    gate_end end = gate_end::broke_off;
    /// Crashes known of the request when the refusal arrives.
    std::uint32_t crashes = 0;
};

struct repeat_row {
    const char* name;
    bool is_idempotent;
    std::vector<attempt_row> ends;
    /// Attempts opened, and how the call ends: with a status of the outcome, or "open".
    std::size_t opened;
    const char* expected;

    friend std::ostream& operator<<(std::ostream& out, const repeat_row& row) {
        return out << row.name;
    }
};

refusal details_of(gate_end end) {
    switch (end) {
    case gate_end::broke_off:
        return {.outcome = msg::call_outcome::unknown,
                .reason = msg::refusal_reason::upstream_unreachable,
                .retry_helps = true};
    case gate_end::busy:
        return {.reason = msg::refusal_reason::busy, .retry_helps = true};
    case gate_end::unsent:
        return {.reason = msg::refusal_reason::upstream_unreachable, .retry_helps = true};
    case gate_end::held:
        return {.reason = msg::refusal_reason::quarantined, .retry_after = milliseconds{700}};
    }
    return {};
}

/// A call at an entry that knows more endpoints than it may try.
struct repeated_call {
    entry_call state;
    retry_budget budget;
    instant now{microseconds(1'000'000)};
    std::size_t opened = 0;
    std::string end = "open";

    void handle(const entry_event& event) {
        const std::function<std::optional<attempt_target>(const std::vector<node_id>&)> choose =
            [this](const std::vector<node_id>& tried) {
                return std::optional(
                    attempt_target{.call = {1, opened + 1},
                                   .node = node_id("gate-" + std::to_string(tried.size()))});
            };
        for (const auto& action : advance(state, event, {budget, choose, now, {}})) {
            opened += std::holds_alternative<open_action>(action) ? 1 : 0;
            if (const auto* failed = std::get_if<fail_action>(&action)) {
                end = std::string(msg::EnumNamecall_outcome(failed->details.outcome)) + " " +
                      msg::EnumNamerefusal_reason(failed->details.reason);
            }
        }
    }
};

class broken_off_call : public ::testing::TestWithParam<repeat_row> {};

/// Guards against automatic repeats that take one upstream after another with them.
TEST_P(broken_off_call, is_repeated_as_stated) {
    const auto& row = GetParam();
    repeated_call call;
    call.state.deadline = call.now + seconds{30};
    call.state.is_idempotent = row.is_idempotent;
    call.state.max_attempts = 5;
    call.handle(request_event{});
    for (const auto& attempt : row.ends) {
        call.handle(refused_event{.call = {1, call.opened},
                                  .details = details_of(attempt.end),
                                  .suspect_crashes = attempt.crashes});
    }
    EXPECT_EQ(call.opened, row.opened);
    EXPECT_EQ(call.end, row.expected);
}

using enum gate_end;

const repeat_row repeat_rows[] = {
    {"once", true, {{broke_off}}, 2, "open"},
    {"not_a_third_time", true, {{broke_off}, {broke_off}}, 2, "unknown upstream_unreachable"},
    {"once_with_one_known_crash", true, {{broke_off, 1}}, 2, "open"},
    {"not_with_two_known_crashes", true, {{broke_off, 2}}, 1, "unknown upstream_unreachable"},
    {"not_with_more_known_crashes", true, {{broke_off, 9}}, 1, "unknown upstream_unreachable"},
    {"not_if_it_may_not_run_twice", false, {{broke_off}}, 1, "unknown upstream_unreachable"},
    {"past_a_busy_gate", true, {{broke_off}, {busy}}, 3, "open"},
    {"not_past_a_busy_gate_after_two_crashes",
     true,
     {{broke_off, 1}, {busy, 2}},
     2,
     "unknown busy"},
    {"not_a_third_time_past_busy_gates",
     true,
     {{broke_off}, {busy}, {broke_off}},
     3,
     "unknown upstream_unreachable"},
    {"a_suspect_that_was_not_sent", true, {{busy, 2}, {unsent, 2}}, 3, "open"},
    {"not_while_it_is_held", true, {{held, 3}}, 1, "not_run quarantined"},
    {"not_while_it_is_held_after_a_crash",
     true,
     {{broke_off, 1}, {held, 3}},
     2,
     "unknown quarantined"},
};

INSTANTIATE_TEST_SUITE_P(rows, broken_off_call, ::testing::ValuesIn(repeat_rows),
                         [](const auto& row) { return std::string(row.param.name); });

} // namespace
} // namespace cyclamenhatch::call
