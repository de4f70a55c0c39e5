#include "clock/process_clock.h"
#include "joined_paths.h"

#include <gtest/gtest.h>

#include <future>
#include <ostream>
#include <set>
#include <thread>

namespace cyclamenhatch::edge::testing {
namespace {

using msg::upstream_state;

request_digest digest_of(const std::string& method, const std::string& path) {
    return compute_request_digest({.method = method,
                                   .host = "shop",
                                   .target = path,
                                   .owner = {},
                                   .body = {},
                                   .stated_length = {}});
}

request_digest digest_of_get(const std::string& path) {
    return digest_of("GET", path);
}

call::quarantine_view hold(const request_digest& digest) {
    return {{digest, {.crashes = 3, .held_until = current_time() + std::chrono::seconds(60)}}};
}

call::quarantine_view hold(const std::string& path) {
    return hold(digest_of_get(path));
}

std::string start_of(const std::string& answer) {
    return answer.substr(0, 17);
}

/// Waits until all messages of ended calls have been handled.
void wait_until_idle(joined_paths& paths) {
    while (count_in_flight(paths.entry()) + count_in_flight(paths.gate()) > 0) {
        std::this_thread::yield();
    }
}

/// Guards against a request that crashes upstream after upstream, since nothing tells its copies
/// from other requests.
TEST(deadly_request, is_refused_at_each_node_after_three_crashes) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    call::quarantine_view suspects;
    for (std::size_t crash = 1; crash <= 3; ++crash) {
        paths.announce(upstream_state::ready, upstream.port(), "i-" + std::to_string(crash));
        EXPECT_EQ(paths.get("/die").substr(0, 11), "504 unknown");
        const auto crashes = paths.wait_for_crashes(crash);
        ASSERT_EQ(crashes.size(), crash);
        EXPECT_EQ(crashes.back().instance, "i-" + std::to_string(crash));
        EXPECT_EQ(crashes.back().service, service_id("ledger"));
        EXPECT_EQ(crashes.back().version, version_id("v1"));
        ASSERT_EQ(crashes.back().runs.size(), 1U);
        EXPECT_EQ(crashes.back().runs.front().digest, digest_of_get("/die"));
        EXPECT_EQ(crashes.back().runs.front().route, route_id("all"));
        upstream.come_back();
    }
    EXPECT_EQ(paths.events("upstream_crashed").size(), 3U);
    paths.announce(upstream_state::ready, upstream.port(), "i-4");
    paths.set_quarantine(hold("/die"));
    EXPECT_EQ(start_of(paths.get("/die")), "503 not-run later");
    EXPECT_EQ(start_of(paths.ask("GET /die HTTP/1.1\r\nHost: shop\r\n\r\n", true)),
              "503 not-run later");
    EXPECT_EQ(upstream.runs("/die"), 3);
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
    EXPECT_NE(metrics_text(paths.entry()).find("calls_held_total 1"), std::string::npos);
    const auto refusals = paths.events("call_refused");
    ASSERT_EQ(refusals.size(), 2U);
    EXPECT_EQ(refusals.front().fields.back().value, to_text(digest_of_get("/die")));
}

/// Guards against a crash that is missed because the upstream's connections end shortly before its
/// listener.
TEST(deadly_request, is_reported_when_the_listener_closes_last) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    EXPECT_EQ(paths.get("/die-late").substr(0, 11), "504 unknown");
    const auto crashes = paths.wait_for_crashes(1);
    ASSERT_EQ(crashes.size(), 1U);
    ASSERT_EQ(crashes.front().runs.size(), 1U);
    EXPECT_EQ(crashes.front().runs.front().digest, digest_of_get("/die-late"));
}

/// Guards against an entry that does not know yet of a hold and sends the request on.
TEST(held_request, is_refused_by_a_gate_that_knows_of_it) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    paths.set_quarantine(hold("/ok"), true);
    EXPECT_EQ(start_of(paths.get("/ok")), "503 not-run later");
    EXPECT_EQ(upstream.runs("/ok"), 0);
    EXPECT_EQ(paths.get("/other-path"), "421 upstream other");
}

/// Guards against a request that waited at the gate while it became held, and runs after all.
TEST(held_request, is_refused_when_it_was_queued_before) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    std::vector<std::future<std::string>> holding;
    holding.reserve(4);
    for (int call = 0; call < 4; ++call) {
        holding.push_back(std::async(std::launch::async, [&] { return paths.get("/hold"); }));
    }
    upstream.wait_for_runs("/hold", 4);
    auto queued = std::async(std::launch::async, [&] { return paths.get("/ok"); });
    while (count_in_flight(paths.gate()) < 5) {
        std::this_thread::yield();
    }
    paths.set_quarantine(hold("/ok"), true);
    upstream.release();
    EXPECT_EQ(start_of(queued.get()), "503 not-run later");
    EXPECT_EQ(upstream.runs("/ok"), 0);
}

/// Guards against a version that is blamed for a request that crashes whatever runs it.
TEST(held_request, is_no_evidence_of_a_fault) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    auto held = std::async(std::launch::async, [&] { return paths.get("/hold-a"); });
    auto other = std::async(std::launch::async, [&] { return paths.get("/hold-b"); });
    upstream.wait_for_runs("/hold-a", 1);
    upstream.wait_for_runs("/hold-b", 1);
    paths.set_quarantine(hold("/hold-a"));
    upstream.end();
    EXPECT_EQ(held.get().substr(0, 11), "504 unknown");
    EXPECT_EQ(other.get().substr(0, 11), "504 unknown");
    upstream.come_back();
    paths.announce(upstream_state::ready, upstream.port(), "i-2");
    EXPECT_EQ(paths.get("/break").substr(0, 11), "504 unknown");
    // Waits in vain for a third one.
    EXPECT_EQ(paths.wait_for_errors(3), 2);
}

/// Guards against a call that is lost because another one crashed its upstream.
TEST(innocent_call, is_served_elsewhere_after_a_crash) {
    fake_upstream dying;
    fake_upstream other;
    joined_paths paths(dying.port());
    auto innocent = std::async(std::launch::async, [&] { return paths.get("/hold"); });
    dying.wait_for_runs("/hold", 1);
    other.release();
    paths.add_endpoint_at_entry(other.port());
    auto deadly = make_open(1, "/die");
    std::get<msg::call_open_msg>(deadly.message).digest =
        std::make_unique<msg::request_key>(digest_of_get("/die").high, digest_of_get("/die").low);
    on_message(paths.gate(), std::move(deadly));
    EXPECT_EQ(innocent.get(), "200 upstream ok");
    EXPECT_EQ(other.runs("/hold"), 1);
    const auto crashes = paths.wait_for_crashes(1);
    ASSERT_EQ(crashes.size(), 1U);
    std::set<request_digest> digests;
    for (const auto& run : crashes.front().runs) {
        digests.insert(run.digest);
    }
    EXPECT_EQ(digests, (std::set{digest_of_get("/die"), digest_of_get("/hold")}));
}

/// Guards against an automatic repeat that takes one more upstream with a request that has crashed
/// others.
TEST(broken_off_call, is_not_repeated_once_its_request_has_crashed_two) {
    fake_upstream first;
    fake_upstream second;
    joined_paths paths(first.port());
    paths.add_endpoint_at_entry(second.port());
    EXPECT_EQ(paths.get("/break").substr(0, 11), "504 unknown");
    EXPECT_EQ(first.runs("/break") + second.runs("/break"), 2);
    paths.set_quarantine({{digest_of_get("/break"), {.crashes = 2}}});
    EXPECT_EQ(paths.get("/break").substr(0, 11), "504 unknown");
    EXPECT_EQ(first.runs("/break") + second.runs("/break"), 3);
}

/// Guards against a suspect that stays one although it has run well since.
TEST(suspect, that_runs_well_is_reported_once) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    paths.set_quarantine({{digest_of_get("/bytes/5"), {.crashes = 1}}});
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
    EXPECT_EQ(paths.get("/bytes/5"), "200 upstream bbbbb");
    wait_until_idle(paths);
    EXPECT_EQ(paths.ran_well(), std::vector{digest_of_get("/bytes/5")});
}

class failure_of_a_suspect : public ::testing::TestWithParam<int> {};

/// Guards against a deadly request that is cleared by a run that ended before the upstream would
/// have crashed: shed, out of time, or for want of a call of its own.
TEST_P(failure_of_a_suspect, is_no_good_run) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    const auto path = "/status/" + std::to_string(GetParam());
    paths.set_quarantine({{digest_of_get(path), {.crashes = 1}}});
    EXPECT_EQ(paths.get(path).substr(0, 3), std::to_string(GetParam()));
    wait_until_idle(paths);
    EXPECT_TRUE(paths.ran_well().empty());
}

INSTANTIATE_TEST_SUITE_P(statuses, failure_of_a_suspect,
                         ::testing::Values(408, 429, 500, 502, 503, 504));

/// Guards against the body of a node's own answer to a HEAD request, which its caller would read as
/// the start of the next answer.
TEST(held_request, with_the_method_head_gets_no_body) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    paths.set_quarantine(hold(digest_of("HEAD", "/ok")));
    const auto received =
        paths.ask_raw("HEAD /ok HTTP/1.1\r\nHost: shop\r\n\r\n"
                      "GET /ok HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 503");
    const auto end = received.find("\r\n\r\n");
    ASSERT_NE(end, std::string::npos);
    EXPECT_EQ(received.substr(end + 4, 12), "HTTP/1.1 200") << received;
}

struct survivor_row {
    const char* name;
    const char* path;
    /// Whether the upstream says that it drains before the call.
    bool is_draining;

    friend std::ostream& operator<<(std::ostream& out, const survivor_row& row) {
        return out << row.name;
    }
};

class no_crash : public ::testing::TestWithParam<survivor_row> {};

/// Guards against requests that become suspects because an upstream lost or garbled an answer, or
/// left as announced.
TEST_P(no_crash, is_reported) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    if (GetParam().is_draining) {
        auto held = std::async(std::launch::async, [&] { return paths.get("/hold"); });
        upstream.wait_for_runs("/hold", 1);
        paths.announce(upstream_state::draining, upstream.port());
        upstream.end();
        EXPECT_EQ(held.get().substr(0, 11), "504 unknown");
        upstream.come_back();
    } else {
        EXPECT_EQ(paths.get(GetParam().path).substr(0, 3), "504");
    }
    // The crash of another run shows that nothing was reported before.
    paths.announce(upstream_state::ready, upstream.port(), "i-2");
    EXPECT_EQ(paths.get("/die").substr(0, 11), "504 unknown");
    const auto crashes = paths.wait_for_crashes(1);
    ASSERT_EQ(crashes.size(), 1U);
    EXPECT_EQ(crashes.front().instance, "i-2");
    ASSERT_EQ(crashes.front().runs.size(), 1U);
    EXPECT_EQ(crashes.front().runs.front().digest, digest_of_get("/die"));
}

const survivor_row survivor_rows[] = {
    {"after_a_lost_answer", "/break", false},
    {"after_half_an_answer", "/half/4", false},
    {"after_an_announced_end", "/hold", true},
};

INSTANTIATE_TEST_SUITE_P(rows, no_crash, ::testing::ValuesIn(survivor_rows),
                         [](const auto& row) { return std::string(row.param.name); });

} // namespace
} // namespace cyclamenhatch::edge::testing
