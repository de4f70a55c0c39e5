#include "call/admission.h"
#include "call/upstream_pace.h"

#include <gtest/gtest.h>

/// Load: upstreams that share their hosts and take 2.5 times as long for half a second.
namespace cyclamenhatch::call {
namespace {

constexpr instant start{microseconds(1'000'000'000)};
constexpr microseconds usual_run{100'000};

TEST(pace, covers_work_while_it_lasts) {
    const auto slow = make_pace(250, start);
    EXPECT_EQ(stretch(slow, usual_run, start), milliseconds{250});
    // 400 ms at this pace do 160 ms of work; the rest takes its usual time.
    EXPECT_EQ(stretch(slow, milliseconds{660}, start), milliseconds{900});
    EXPECT_EQ(stretch(make_pace(50, start), usual_run, start), milliseconds{50});
    EXPECT_EQ(stretch({}, usual_run, start), usual_run);
}

TEST(pace, fades_to_the_usual) {
    const auto slow = make_pace(250, start);
    auto before = stretch(slow, usual_run, start);
    for (auto age = milliseconds{0}; age <= pace_lifetime; age += milliseconds{10}) {
        const auto after = stretch(slow, usual_run, start + age);
        EXPECT_LE(after, before);
        EXPECT_GE(after, usual_run);
        before = after;
    }
    EXPECT_EQ(before, usual_run);
    EXPECT_EQ(pace_percent_at(slow, start + pace_lifetime), usual_pace_percent);
}

TEST(pace, out_of_range_does_not_close_an_upstream) {
    EXPECT_LE(stretch(make_pace(UINT64_MAX, start), usual_run, start), usual_run * 10);
    EXPECT_GE(stretch(make_pace(1, start), usual_run, start), usual_run / 10);
}

TEST(pace, is_taken_out_of_measured_times) {
    EXPECT_EQ(to_usual_time(milliseconds{250}, 250, 250), usual_run);
    EXPECT_EQ(to_usual_time(usual_run, 100, 100), usual_run);
}

/// A gate with four slots whose calls take 100 ms.
struct paced_gate {
    paced_gate() {
        msg::upstream_record_msg upstream;
        upstream.service = "ledger";
        upstream.version = "v1";
        upstream.state = msg::upstream_state::ready;
        upstream.slots = 4;
        (void)on_upstream_change(gate, upstream, start);
        gate.limit.latency_us = static_cast<double>(usual_run.count());
        note_run(gate.routes, route_id("browse"), usual_run);
    }

    /// Opens a call with its objective, or refuses it.
    bool open(microseconds objective, instant now) {
        const gate_request request{.call = {1, ++calls},
                                   .entry_node = node_id("entry"),
                                   .service = service_id("ledger"),
                                   .version = version_id("v1"),
                                   .owner = owner_id("members"),
                                   .deadline = now + seconds{3},
                                   .objective = now + objective,
                                   .route = route_id("browse")};
        for (const auto& action : on_open(gate, request, now)) {
            if (std::holds_alternative<send_refusal_action>(action)) {
                return false;
            }
        }
        return true;
    }

    gate_state gate;
    std::uint64_t calls = 0;
};

/// Guards against calls that wait at a slow upstream until they miss their objective, and against
/// refusals for a slow spell that is over.
TEST(slow_half_second, refuses_what_would_miss_its_objective) {
    paced_gate fixture;
    for (int i = 0; i < 4; ++i) {
        ASSERT_TRUE(fixture.open(seconds{2}, start));
    }
    on_stated_pace(fixture.gate, {1, 1}, 250, start);
    EXPECT_FALSE(fixture.open(milliseconds{250}, start));
    EXPECT_TRUE(fixture.open(milliseconds{250}, start + pace_lifetime));
    const auto report = current_load(fixture.gate, {1, 1}, start);
    EXPECT_EQ(report.pace_percent, 250U);
    EXPECT_EQ(current_load(fixture.gate, {1, 1}, start + pace_lifetime).pace_percent, 100U);
}

/// Guards against slow spells that are taken for the usual time, and for too many calls.
TEST(slow_half_second, changes_no_usual_time) {
    paced_gate fixture;
    ASSERT_TRUE(fixture.open(seconds{2}, start));
    on_stated_pace(fixture.gate, {1, 1}, 250, start);
    constexpr int runs = 64;
    auto now = start;
    for (int i = 0; i < runs; ++i) {
        (void)on_upstream_end(fixture.gate, {1, fixture.calls},
                              {.is_answered = true, .latency = usual_run * 5 / 2}, now);
        ASSERT_TRUE(fixture.open(seconds{2}, now));
        now += usual_run * 5 / 2;
        on_stated_pace(fixture.gate, {1, fixture.calls}, 250, now);
    }
    const auto usual = expected_run_time(fixture.gate, route_id("browse"));
    EXPECT_GE(usual, usual_run * 9 / 10);
    EXPECT_LE(usual, usual_run * 12 / 10);
    EXPECT_EQ(current_limit(fixture.gate.limit), 4U);
}

TEST(pace, ends_with_the_run_of_the_upstream) {
    paced_gate fixture;
    ASSERT_TRUE(fixture.open(seconds{2}, start));
    on_stated_pace(fixture.gate, {1, 9}, 250, start);
    EXPECT_EQ(fixture.gate.pace.percent, usual_pace_percent) << "an unknown call";
    on_stated_pace(fixture.gate, {1, 1}, 250, start);
    begin_upstream_run(fixture.gate);
    EXPECT_EQ(fixture.gate.pace.percent, usual_pace_percent);
}

} // namespace
} // namespace cyclamenhatch::call
