#include "joined_paths.h"

#include <gtest/gtest.h>

#include <future>

namespace cyclamenhatch::edge::testing {
namespace {

/// Header names of a deployment whose upstreams echo the call's id and report calls that they did
/// not run.
header_names make_names() {
    header_names names;
    names.request_id = "x-id";
    names.expected_instance = "x-instance";
    names.caller_service = "x-caller";
    names.not_run = "x-unrun";
    names.has_fractional_retry_after = true;
    return names;
}

std::string with_id(const std::string& path, const std::string& id) {
    return "GET " + path + " HTTP/1.1\r\nHost: shop\r\nx-id: " + id + "\r\n\r\n";
}

TEST(upstream_headers, an_answer_to_another_request_is_dropped) {
    fake_upstream upstream;
    joined_paths paths(upstream.port(), make_names());
    EXPECT_EQ(paths.ask(with_id("/stale", "7")), "200 upstream yours");
    // With no answer of its own the call's end is not known.
    EXPECT_EQ(paths.ask(with_id("/ok", "8")).substr(0, 3), "200");
}

TEST(upstream_headers, an_answer_to_another_request_alone_is_not_accepted) {
    fake_upstream upstream;
    joined_paths paths(upstream.port(), make_names());
    const std::string short_deadline_request = "GET /foreign HTTP/1.1\r\nHost: shop\r\nx-id: 7\r\n"
                                               "cyclamenhatch-deadline-ms: 50\r\n\r\n";
    EXPECT_EQ(paths.ask(short_deadline_request).substr(0, 11), "504 unknown");
}

TEST(upstream_headers, not_run_is_reported_only_when_the_upstream_states_it) {
    fake_upstream upstream;
    joined_paths paths(upstream.port(), make_names());
    EXPECT_EQ(paths.ask(with_id("/unrun", "7")).substr(0, 11), "503 not-run");
    // A 503 of the upstream without that header may have run, and is passed on unchanged.
    EXPECT_EQ(paths.ask(with_id("/status/503", "8")).substr(0, 12), "503 upstream");
}

/// Guards against taking what another upstream at the address says for the expected one (DRAIN).
TEST(upstream_headers, another_instance_speaks_for_itself_only) {
    fake_upstream upstream;
    joined_paths paths(upstream.port(), make_names());
    paths.announce(msg::upstream_state::ready, upstream.port(), "i-1");
    EXPECT_EQ(paths.ask(with_id("/other-leaves", "7")).substr(0, 11), "503 not-run");
    paths.announce(msg::upstream_state::ready, upstream.port(), "i-1");
    EXPECT_EQ(paths.ask(with_id("/ok", "8")).substr(0, 3), "200");
}

TEST(upstream_headers, another_instance_at_the_address_gets_no_further_calls) {
    fake_upstream upstream;
    joined_paths paths(upstream.port(), make_names());
    paths.announce(msg::upstream_state::ready, upstream.port(), "i-1");
    EXPECT_EQ(paths.ask(with_id("/ok", "7")).substr(0, 3), "200");
    EXPECT_NE(upstream.last_head().find("x-instance: i-1\r\n"), std::string::npos);
    EXPECT_EQ(paths.ask(with_id("/other", "8")).substr(0, 11), "503 not-run");
    const int runs = upstream.runs("/ok");
    EXPECT_EQ(paths.ask(with_id("/ok", "9")).substr(0, 11), "503 not-run");
    EXPECT_EQ(upstream.runs("/ok"), runs);
    paths.announce(msg::upstream_state::ready, upstream.port(), "i-2");
    EXPECT_EQ(paths.ask(with_id("/ok", "10")).substr(0, 3), "200");
}

TEST(upstream_headers, headers_that_the_node_sets_are_not_taken_from_callers) {
    fake_upstream upstream;
    joined_paths paths(upstream.port(), make_names());
    EXPECT_EQ(paths.get("/ok", "x-caller: forged\r\nx-instance: forged\r\nx-note: kept\r\n"
                               "Connection: x-hop\r\nx-hop: dropped\r\n"),
              "200 upstream ok");
    const auto head = upstream.last_head();
    EXPECT_EQ(head.find("forged"), std::string::npos) << head;
    EXPECT_EQ(head.find("x-hop"), std::string::npos) << head;
    EXPECT_NE(head.find("x-note: kept\r\n"), std::string::npos) << head;
}

TEST(pipelining, answers_come_in_the_order_of_the_requests) {
    fake_upstream upstream;
    joined_paths paths(upstream.port(), make_names());
    // The first one is held; those behind it run meanwhile, and their answers wait for their turn.
    auto answers = std::async(std::launch::async, [&] {
        return paths.ask_many(with_id("/hold", "1") + with_id("/a", "2") + with_id("/b", "3"), 3);
    });
    upstream.wait_for_runs("/hold", 1);
    upstream.wait_for_runs("/a", 1);
    upstream.wait_for_runs("/b", 1);
    upstream.release();
    EXPECT_EQ(answers.get(), (std::vector<std::string>{"/hold", "/a", "/b"}));
}

TEST(pipelining, a_call_that_must_not_run_twice_waits_for_those_before_it) {
    fake_upstream upstream;
    joined_paths paths(upstream.port(), make_names());
    auto answers = std::async(std::launch::async, [&] {
        return paths.ask_many(with_id("/hold", "1") + with_id("/hold-once", "2"), 2);
    });
    upstream.wait_for_runs("/hold", 1);
    EXPECT_EQ(upstream.runs("/hold-once"), 0);
    upstream.release();
    EXPECT_EQ(answers.get(), (std::vector<std::string>{"/hold", "/hold-once"}));
    EXPECT_EQ(upstream.runs("/hold-once"), 1);
}

TEST(pipelining, a_draining_node_answers_all_that_it_has_taken) {
    fake_upstream upstream;
    joined_paths paths(upstream.port(), make_names());
    auto answers = std::async(std::launch::async, [&] {
        return paths.ask_many(with_id("/hold", "1") + with_id("/a", "2"), 3);
    });
    upstream.wait_for_runs("/hold", 1);
    upstream.wait_for_runs("/a", 1);
    begin_drain(paths.entry());
    upstream.release();
    EXPECT_EQ(answers.get(), (std::vector<std::string>{"/hold", "/a", "closed"}));
}

} // namespace
} // namespace cyclamenhatch::edge::testing
