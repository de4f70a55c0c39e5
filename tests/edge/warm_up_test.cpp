#include "joined_paths.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

namespace cyclamenhatch::edge::testing {
namespace {

using clock = std::chrono::steady_clock;

constexpr double calls_per_s = 4;
constexpr milliseconds warm_up_time{3'000};
/// The users' bound of calls in a second: 1.5 times the rate and 8.
constexpr int allowed = 14;

/// Calls that can't wait for a start, one after the other.
int count_refused(joined_paths& paths, milliseconds span) {
    int refused = 0;
    const auto until = clock::now() + span;
    while (clock::now() < until) {
        const auto answer = paths.get("/ok", "cyclamenhatch-deadline-ms: 100\r\n");
        refused += answer.substr(0, 17) == "503 not-run later" ? 1 : 0;
    }
    return refused;
}

/// Guards against a gate that lets a burst through to its cold upstream each time it is restarted
/// (FAILBACK).
TEST(cold_upstream, is_called_at_its_rate_by_a_restarted_gate) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    paths.set_warm_up(calls_per_s, warm_up_time);
    const auto state = msg::upstream_state::ready;
    paths.announce(state, upstream.port(), "i-1", warm_up_time);
    EXPECT_GT(count_refused(paths, milliseconds{400}), allowed);
    paths.restart_gate();
    // It has heard of no upstream, so none of these calls runs.
    const auto runs_before = upstream.runs("/ok");
    (void)count_refused(paths, milliseconds{50});
    EXPECT_EQ(upstream.runs("/ok"), runs_before);
    paths.announce(state, upstream.port(), "i-1", warm_up_time - milliseconds{450});
    EXPECT_GT(count_refused(paths, milliseconds{400}), allowed);
    EXPECT_LE(upstream.runs("/ok"), allowed);
    EXPECT_GE(upstream.runs("/ok"), 2);
    EXPECT_FALSE(paths.events("upstream_cold").empty());

    paths.announce(state, upstream.port(), "i-1");
    const auto runs_cold = upstream.runs("/ok");
    for (int i = 0; i < 2 * allowed; ++i) {
        EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
    }
    EXPECT_EQ(upstream.runs("/ok"), runs_cold + 2 * allowed);
    EXPECT_FALSE(paths.events("upstream_warm").empty());
}

/// Guards against a run that can't be reached, comes back cold and is called as if it were warm.
TEST(unreachable_upstream, counts_as_cold_until_it_says_otherwise) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    paths.set_warm_up(calls_per_s, warm_up_time);
    paths.announce(msg::upstream_state::ready, upstream.port(), "i-1");
    // Until the gate has read the configuration.
    std::this_thread::sleep_for(milliseconds{300});
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
    upstream.end();
    (void)paths.get("/ok", "cyclamenhatch-deadline-ms: 100\r\n");
    upstream.come_back();
    // The entry skips a gate that refused all calls for a second, unless there is no other.
    EXPECT_GT(count_refused(paths, milliseconds{300}), allowed);
    EXPECT_LE(upstream.runs("/ok"), allowed);
    paths.announce(msg::upstream_state::ready, upstream.port(), "i-1");
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
}

} // namespace
} // namespace cyclamenhatch::edge::testing
