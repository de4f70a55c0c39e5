#include "call/gate.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace cyclamenhatch::call {
namespace {

using msg::refusal_reason;
using msg::upstream_state;

constexpr instant start{microseconds(1'000'000'000)};
constexpr microseconds second{1'000'000};
constexpr microseconds millisecond{1'000};

msg::upstream_record_msg make_upstream(upstream_state state, std::uint32_t slots) {
    msg::upstream_record_msg upstream;
    upstream.service = "ledger";
    upstream.version = "v1";
    upstream.state = state;
    upstream.slots = slots;
    return upstream;
}

gate_state make_gate(std::uint32_t slots, std::uint32_t queue_limit) {
    gate_state gate;
    gate.settings.queue_limit = queue_limit;
    gate.instance = 5;
    (void)on_upstream_change(gate, make_upstream(upstream_state::ready, slots), start);
    return gate;
}

gate_request make_request(std::uint64_t id, microseconds timeout = second,
                          const std::string& owner = "members") {
    return {.call = {1, id},
            .entry_node = node_id("entry"),
            .service = service_id("ledger"),
            .version = version_id("v1"),
            .owner = owner_id(owner),
            .deadline = start + timeout,
            .gate_instance = 5};
}

/// Formats a gate's actions, such as "run 1" or "refuse 2 queue_full not_run retry".
std::string describe(const gate_actions& actions) {
    std::string out;
    for (const auto& action : actions) {
        out += out.empty() ? "" : ", ";
        if (const auto* run = std::get_if<run_action>(&action)) {
            out += "run " + std::to_string(run->call.low);
        } else if (const auto* abort = std::get_if<abort_action>(&action)) {
            out += "abort " + std::to_string(abort->call.low);
        } else if (const auto* release = std::get_if<release_action>(&action)) {
            out += "release " + std::to_string(release->call.low);
        } else if (const auto* answer = std::get_if<send_answer_action>(&action)) {
            out += "answer to " + answer->waiter.value;
        } else if (const auto* refusal = std::get_if<send_refusal_action>(&action)) {
            const auto& refused = refusal->refused;
            out += "refuse " + std::to_string(refused.call->low()) + " " +
                   msg::EnumNamerefusal_reason(refused.reason) + " " +
                   msg::EnumNamecall_outcome(refused.outcome) +
                   (refused.retry_helps ? " retry" : "");
        }
    }
    return out;
}

upstream_end answered() {
    return {.answer = std::make_shared<msg::call_answer_msg>(),
            .is_answered = true,
            .latency = 10 * millisecond};
}

struct admission_row {
    const char* name;
    std::uint32_t slots;
    /// Number of calls opened before the one under test.
    int before;
    upstream_state state;
    bool is_draining;
    const char* version;
    microseconds timeout;
    const char* expected;

    friend std::ostream& operator<<(std::ostream& out, const admission_row& row) {
        return out << row.name;
    }
};

class admission : public ::testing::TestWithParam<admission_row> {};

TEST_P(admission, is_decided_before_dispatch) {
    const auto& row = GetParam();
    auto gate = make_gate(row.slots, 2);
    gate.limit.latency_us = 100'000;
    for (int i = 0; i < row.before; ++i) {
        (void)on_open(gate, make_request(100 + static_cast<std::uint64_t>(i)), start);
    }
    gate.upstream = row.state;
    gate.is_draining = row.is_draining;
    auto request = make_request(1, row.timeout);
    request.version = version_id(row.version);
    EXPECT_EQ(describe(on_open(gate, request, start)), row.expected);
}

constexpr auto ready = upstream_state::ready;

const admission_row admission_rows[] = {
    {"free_slot", 2, 1, ready, false, "v1", second, "run 1"},
    {"queued", 2, 3, ready, false, "v1", second, ""},
    {"queue_full", 2, 4, ready, false, "v1", second, "refuse 1 queue_full not_run retry"},
    {"draining_node", 2, 0, ready, true, "v1", second, "refuse 1 draining not_run retry"},
    {"draining_upstream", 2, 0, upstream_state::draining, false, "v1", second,
     "refuse 1 draining not_run retry"},
    {"gone_upstream", 2, 0, upstream_state::gone, false, "v1", second,
     "refuse 1 draining not_run retry"},
    {"starting_upstream", 2, 0, upstream_state::starting, false, "v1", second,
     "refuse 1 no_endpoint not_run retry"},
    {"no_upstream", 2, 0, upstream_state::none, false, "v1", second,
     "refuse 1 no_endpoint not_run retry"},
    {"no_slots", 0, 0, ready, false, "v1", second, "refuse 1 no_endpoint not_run retry"},
    {"other_version", 2, 0, ready, false, "v2", second, "refuse 1 wrong_version not_run retry"},
    {"deadline_past", 2, 0, ready, false, "v1", microseconds{0}, "refuse 1 deadline not_run"},
    {"idle_gate_tries_short_deadline", 2, 0, ready, false, "v1", 50 * millisecond, "run 1"},
    {"too_short_for_the_upstream", 2, 1, ready, false, "v1", 50 * millisecond,
     "refuse 1 deadline not_run"},
    {"too_short_for_the_queue", 2, 3, ready, false, "v1", 120 * millisecond,
     "refuse 1 deadline not_run retry"},
};

INSTANTIATE_TEST_SUITE_P(rows, admission, ::testing::ValuesIn(admission_rows),
                         [](const auto& row) { return std::string(row.param.name); });

/// Guards against running a call whose cancel still waits behind it on a link that was read late.
TEST(gate, refuses_a_call_that_waited_long_on_its_link) {
    auto gate = make_gate(2, 2);
    auto prompt = make_request(1);
    prompt.link_delay = 399 * millisecond;
    EXPECT_EQ(describe(on_open(gate, prompt, start)), "run 1");
    auto delayed = make_request(2);
    delayed.link_delay = 401 * millisecond;
    EXPECT_EQ(describe(on_open(gate, delayed, start)), "refuse 2 delayed not_run retry");
    auto expired = make_request(3, -millisecond);
    expired.link_delay = 401 * millisecond;
    EXPECT_EQ(describe(on_open(gate, expired, start)), "refuse 3 deadline not_run");
}

TEST(gate, runs_the_earliest_deadline_first) {
    auto gate = make_gate(1, 8);
    (void)on_open(gate, make_request(1), start);
    (void)on_open(gate, make_request(2, 5 * second), start);
    (void)on_open(gate, make_request(3, 2 * second), start);
    EXPECT_EQ(describe(on_upstream_end(gate, {1, 1}, answered(), start)),
              "answer to entry, release 1, run 3");
}

TEST(gate, refuses_queued_calls_in_time) {
    auto gate = make_gate(1, 8);
    gate.limit.baseline_us = 20'000;
    (void)on_open(gate, make_request(1), start);
    (void)on_open(gate, make_request(2, 100 * millisecond), start);
    EXPECT_EQ(describe(on_gate_timer(gate, start + 79 * millisecond)), "");
    EXPECT_EQ(describe(on_gate_timer(gate, start + 80 * millisecond)),
              "refuse 2 deadline not_run, release 2");
}

TEST(gate, drain_refuses_the_queue_and_lets_runs_end) {
    auto gate = make_gate(1, 8);
    (void)on_open(gate, make_request(1), start);
    (void)on_open(gate, make_request(2), start);
    EXPECT_EQ(describe(on_drain(gate, start)), "refuse 2 draining not_run retry, release 2");
    EXPECT_EQ(describe(on_upstream_end(gate, {1, 1}, answered(), start)),
              "answer to entry, release 1");
}

TEST(gate, another_version_refuses_what_waits) {
    auto gate = make_gate(1, 8);
    (void)on_open(gate, make_request(1), start);
    (void)on_open(gate, make_request(2), start);
    auto next = make_upstream(ready, 1);
    next.version = "v2";
    EXPECT_EQ(describe(on_upstream_change(gate, next, start)),
              "refuse 2 wrong_version not_run retry, release 2");
}

TEST(gate, cancel_frees_the_slot_and_marks_the_call) {
    auto gate = make_gate(1, 8);
    (void)on_open(gate, make_request(1), start);
    (void)on_open(gate, make_request(2), start);
    EXPECT_EQ(describe(on_cancel(gate, {1, 1}, start)), "abort 1, release 1, run 2");
    EXPECT_EQ(describe(on_cancel(gate, {1, 9}, start)), "");
    // A call that arrives after its cancel never runs.
    EXPECT_EQ(describe(on_open(gate, make_request(9), start)), "refuse 9 duplicate not_run retry");
}

TEST(gate, reattach_tells_the_remembered_answer_until_it_is_forgotten) {
    auto gate = make_gate(1, 8);
    (void)on_open(gate, make_request(1), start);
    auto again = make_request(1);
    again.is_reattach = true;
    again.entry_node = node_id("entry-again");
    EXPECT_EQ(describe(on_open(gate, again, start)), "");
    (void)on_upstream_end(gate, {1, 1}, answered(), start);
    EXPECT_EQ(describe(on_open(gate, again, start)), "answer to entry-again");
    (void)on_gate_timer(gate, start + 10 * second);
    EXPECT_EQ(describe(on_open(gate, again, start + 10 * second)), "refuse 1 duplicate unknown");
}

TEST(gate, claims_not_run_only_while_it_knows_all_calls) {
    auto gate = make_gate(4, 8);
    gate.settings.memory.max_calls = 2;
    auto again = make_request(50);
    again.is_reattach = true;
    auto other_run = again;
    other_run.call = {1, 51};
    other_run.gate_instance = 4;
    EXPECT_EQ(describe(on_open(gate, other_run, start)), "refuse 51 none unknown retry");
    EXPECT_EQ(describe(on_open(gate, again, start)), "refuse 50 none not_run retry");
    for (std::uint64_t number = 1; number <= 4; ++number) {
        (void)on_open(gate, make_request(number), start);
        (void)on_upstream_end(gate, {1, number}, answered(), start);
    }
    // Calls were forgotten before their deadline, so an unknown one may have been among them.
    again.call = {1, 52};
    EXPECT_EQ(describe(on_open(gate, again, start)), "refuse 52 none unknown retry");
    EXPECT_EQ(describe(on_open(gate, make_request(50), start)),
              "refuse 50 duplicate not_run retry");
}

TEST(gate, bounds_the_bytes_of_remembered_answers) {
    auto gate = make_gate(4, 8);
    gate.settings.memory.max_answer_bytes = 100;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        (void)on_open(gate, make_request(number), start);
        auto end = answered();
        auto answer = std::make_shared<msg::call_answer_msg>();
        answer->body.resize(40);
        end.answer = answer;
        (void)on_upstream_end(gate, {1, number}, end, start);
        EXPECT_LE(gate.memory.answer_bytes, 100U);
    }
    EXPECT_EQ(gate.memory.dropped_answers, 3U);
}

/// Runs a gate with 4 slots, two owners that always have calls waiting and one without calls.
TEST(gate, shares_slots_by_reservation_and_lends_idle_ones) {
    auto gate = make_gate(4, 64);
    on_reservations(gate, {{owner_id("alpha"), 3}, {owner_id("beta"), 1}, {owner_id("idle"), 4}},
                    start);
    std::uint64_t id = 0;
    std::vector<std::uint64_t> running;
    auto now = start;
    const auto take = [&](const gate_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* run = std::get_if<run_action>(&action)) {
                running.push_back(run->call.low);
            }
        }
    };
    for (int i = 0; i < 400; ++i) {
        // Both always have more waiting than there are slots.
        for (const auto* owner : {"alpha", "beta"}) {
            while (gate.shares.owners[owner_id(owner)].queued < 5) {
                take(on_open(gate, make_request(++id, 1000 * second, owner), now));
            }
        }
        now += 10 * millisecond;
        const auto first = running.front();
        running.erase(running.begin());
        take(on_upstream_end(gate, {1, first}, answered(), now));
    }
    const auto& owners = gate.shares.owners;
    const auto& alpha = owners.at(owner_id("alpha")).usage;
    const auto& beta = owners.at(owner_id("beta")).usage;
    const auto& idle = owners.at(owner_id("idle")).usage;
    const auto ratio = static_cast<double>(alpha.used) / static_cast<double>(beta.used);
    EXPECT_NEAR(ratio, 3.0, 0.3);
    // 8 reserved on 4 slots: each reservation counts half, and the idle half is lent whole.
    EXPECT_EQ(idle.used, 0U);
    EXPECT_NEAR(static_cast<double>(idle.lent), static_cast<double>(idle.reserved), 1.0);
    EXPECT_NEAR(static_cast<double>(alpha.borrowed + beta.borrowed), static_cast<double>(idle.lent),
                0.02 * static_cast<double>(idle.lent));
    const auto all_slots = 4.0 * static_cast<double>((now - start).count());
    EXPECT_NEAR(static_cast<double>(alpha.used + beta.used), all_slots, 0.01 * all_slots);
}

TEST(gate, a_full_queue_makes_room_for_the_owner_that_has_less) {
    auto gate = make_gate(1, 2);
    on_reservations(gate, {{owner_id("alpha"), 1}, {owner_id("beta"), 1}}, start);
    (void)on_open(gate, make_request(1, second, "alpha"), start);
    (void)on_open(gate, make_request(2, second, "alpha"), start);
    (void)on_open(gate, make_request(3, 2 * second, "alpha"), start);
    EXPECT_EQ(describe(on_open(gate, make_request(4, second, "beta"), start)),
              "refuse 3 queue_full not_run retry, release 3");
    EXPECT_EQ(describe(on_open(gate, make_request(5, second, "alpha"), start)),
              "refuse 5 queue_full not_run retry");
}

TEST(concurrency_limit, follows_the_latency_within_the_slots) {
    concurrency_limit limit;
    set_slots(limit, 16);
    const auto feed = [&](int windows, microseconds latency, bool is_overload) {
        for (int i = 0; i < windows * 32; ++i) {
            note_sample(limit, latency, is_overload, current_limit(limit));
        }
    };
    feed(4, 10 * millisecond, false);
    EXPECT_EQ(current_limit(limit), 16U);
    feed(4, 60 * millisecond, false);
    EXPECT_LT(current_limit(limit), 12U);
    feed(20, 10 * millisecond, true);
    EXPECT_EQ(current_limit(limit), 4U);
    feed(40, 10 * millisecond, false);
    EXPECT_EQ(current_limit(limit), 16U);
}

} // namespace
} // namespace cyclamenhatch::call
