#include "joined_paths.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <ostream>
#include <thread>

namespace cyclamenhatch::edge::testing {
namespace {

struct exchange_row {
    const char* name;
    std::string request;
    std::string expected;
    /// Runs of the path at the upstream, when a path is given.
    std::string path;
    int runs = 0;

    friend std::ostream& operator<<(std::ostream& out, const exchange_row& row) {
        return out << row.name;
    }
};

std::string post(const std::string& path, std::size_t bytes) {
    return request("POST " + path, "Content-Length: " + std::to_string(bytes) + "\r\n",
                   std::string(bytes, 'p'));
}

class exchange : public ::testing::TestWithParam<exchange_row> {};

TEST_P(exchange, ends_as_stated) {
    const auto& row = GetParam();
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    EXPECT_EQ(paths.ask(row.request), row.expected);
    if (!row.path.empty()) {
        EXPECT_EQ(upstream.runs(row.path), row.runs);
    }
    // The node still serves, whatever the request was.
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
}

const exchange_row exchange_rows[] = {
    {"whole", request("GET /ok"), "200 upstream ok"},
    {"small_body", post("/echo", 5), "200 upstream ppppp"},
    {"large_request", post("/echo", 900'000), "200 upstream 900000 bytes", "/echo", 1},
    {"chunked_request",
     request("POST /ok", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
     "200 upstream ok"},
    {"large_answer", request("GET /bytes/3000000"), "200 upstream 3000000 bytes"},
    {"chunked_answer", request("GET /chunked/500000"), "200 500000 bytes"},
    {"short_chunked_answer", request("GET /chunked/12"), "200 cccccccccccc"},
    {"no_content", request("GET /status/204"), "204 upstream "},
    {"server_error_passes", request("GET /status/500"), "500 upstream told"},
    {"old_protocol", "GET /ok HTTP/1.0\r\nHost: shop\r\n\r\n", "200 upstream ok"},
    {"broken_line", "GET\r\n\r\n", "400 not-run 39 bytes"},
    {"broken_header", "GET /ok HTTP/1.1\r\nHost\r\n\r\n", "400 not-run 39 bytes"},
    {"broken_length", request("POST /echo", "Content-Length: x\r\n"), "400 not-run 39 bytes"},
    {"header_too_large", request("GET /ok", "X-Long: " + std::string(8000, 'x') + "\r\n"),
     "431 not-run 41 bytes"},
    {"body_too_large", post("/echo", 1'000'001), "413 not-run 39 bytes", "/echo", 0},
    {"too_many_hops", request("GET /ok", "cyclamenhatch-hops: 8\r\n"), "508 not-run 110 bytes",
     "/ok", 0},
    {"no_time_left", request("GET /hold", "cyclamenhatch-deadline-ms: 0\r\n"),
     "503 not-run later 94 bytes", "/hold", 0},
    {"runs_out_of_time", request("GET /hold", "cyclamenhatch-deadline-ms: 30\r\n"),
     "504 unknown 94 bytes", "/hold", 1},
    {"upstream_breaks", request("GET /break"), "504 unknown later 120 bytes", "/break", 1},
    {"upstream_breaks_within_first_piece", request("GET /half/4"), "504 unknown later 120 bytes",
     "/half/4", 1},
    {"upstream_breaks_within_stream", request("GET /half/90000"), "broken off", "/half/90000", 1},
};

INSTANTIATE_TEST_SUITE_P(faults, exchange, ::testing::ValuesIn(exchange_rows),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(call_path, passes_limits_on) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    EXPECT_EQ(paths.get("/ok", "cyclamenhatch-hops: 2\r\ncyclamenhatch-attempts: 3\r\n"),
              "200 upstream ok");
    const auto head = upstream.last_head();
    EXPECT_NE(head.find("cyclamenhatch-hops: 3\r\n"), std::string::npos) << head;
    EXPECT_NE(head.find("cyclamenhatch-attempts: 3\r\n"), std::string::npos) << head;
    EXPECT_NE(head.find("cyclamenhatch-deadline-ms: "), std::string::npos) << head;
}

TEST(call_path, resends_a_lost_answer_without_a_second_run) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
    paths.lose_answers(1);
    auto answer = std::async(std::launch::async, [&] { return paths.get("/hold-once"); });
    upstream.wait_for_runs("/hold-once", 1);
    upstream.release();
    // The loss may happen at any time after this; each link loss reattaches once more.
    while (answer.wait_for(std::chrono::milliseconds(1)) != std::future_status::ready) {
        on_link_lost(paths.entry(), node_id("gate"));
    }
    EXPECT_EQ(answer.get(), "200 upstream ok");
    EXPECT_EQ(upstream.runs("/hold-once"), 1);
}

TEST(call_path, reports_unknown_when_the_gate_failed_with_the_call) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    auto answer = std::async(std::launch::async, [&] { return paths.get("/hold-once"); });
    upstream.wait_for_runs("/hold-once", 1);
    paths.forget_endpoint();
    on_link_lost(paths.entry(), node_id("gate"));
    EXPECT_EQ(answer.get().substr(0, 11), "504 unknown");
    EXPECT_EQ(upstream.runs("/hold-once"), 1);
}

/// Guards against a loop of reattaches to a node that accepts no connections, for example after a
/// power loss.
TEST(call_path, undelivered_reattaches_are_not_repeated_at_once) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    std::vector<std::future<std::string>> answers;
    constexpr int calls = 8;
    answers.reserve(calls);
    for (int i = 0; i < calls; ++i) {
        answers.push_back(std::async(std::launch::async, [&] {
            return paths.get("/hold-once", "cyclamenhatch-deadline-ms: 3000\r\n");
        }));
    }
    // All of them are at the gate, four running and four waiting.
    while (count_in_flight(paths.gate()) < calls) {
        std::this_thread::yield();
    }
    paths.cut_link();
    on_link_lost(paths.entry(), node_id("gate"));
    int unknown = 0;
    for (auto& answer : answers) {
        const auto told = answer.get().substr(0, 11);
        unknown += told == "504 unknown" ? 1 : 0;
        // The gate may refuse those that waited there before their entry gives them up.
        EXPECT_TRUE(told == "504 unknown" || told == "503 not-run") << told;
    }
    EXPECT_GE(unknown, 4);
    // Each call reattaches at once, after 50 ms and then after delays that double up to 800 ms,
    // seven times in all, and is cancelled at its end.
    EXPECT_LE(paths.undelivered_count(), calls * 8);
    upstream.release();
}

TEST(call_path, reports_not_run_when_the_upstream_cannot_be_reached) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    // Port 1 takes no connections.
    paths.announce(msg::upstream_state::ready, 1);
    EXPECT_EQ(paths.get("/hold-once").substr(0, 17), "503 not-run later");
}

/// Waits until the gate counts at most `limit` calls in flight, and returns the count. The gate
/// counts a call until it has handed on the answer, so a caller may have its answer before that.
std::size_t wait_for_in_flight(joined_paths& paths, std::size_t limit) {
    constexpr std::chrono::seconds longest_wait{10};
    const auto end = std::chrono::steady_clock::now() + longest_wait;
    auto count = count_in_flight(paths.gate());
    while (count > limit && std::chrono::steady_clock::now() < end) {
        std::this_thread::yield();
        count = count_in_flight(paths.gate());
    }
    return count;
}

TEST(call_path, drain_refuses_new_calls_and_finishes_those_under_way) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    auto answer = std::async(std::launch::async, [&] { return paths.get("/hold"); });
    upstream.wait_for_runs("/hold", 1);
    begin_drain(paths.gate());
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok") << "the upstream works on until the gate closes";
    close_gate(paths.gate());
    EXPECT_EQ(paths.get("/ok").substr(0, 17), "503 not-run later");
    EXPECT_EQ(wait_for_in_flight(paths, 1), 1U);
    upstream.release();
    EXPECT_EQ(answer.get(), "200 upstream ok");
    EXPECT_EQ(wait_for_in_flight(paths, 0), 0U);
}

/// Guards against a node that counts itself idle, and stops, before it has handed on an answer.
TEST(call_path, the_gate_counts_a_call_until_its_answer_is_handed_on) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    std::atomic<std::size_t> least_count{1000};
    paths.lose([&](const node_id&, const peer_message& message) {
        if (std::holds_alternative<msg::call_answer_msg>(message)) {
            least_count = std::min<std::size_t>(least_count, count_in_flight(paths.gate()));
        }
        return false;
    });
    for (int call = 0; call < 20; ++call) {
        EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
    }
    EXPECT_EQ(least_count, 1U);
    EXPECT_EQ(wait_for_in_flight(paths, 0), 0U);
}

TEST(call_path, caller_that_leaves_frees_its_slot) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    {
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), paths.entry_port()});
        const std::string text = request("GET /hold");
        boost::system::error_code error;
        socket.send(boost::asio::buffer(text), 0, error);
        upstream.wait_for_runs("/hold", 1);
    }
    while (count_in_flight(paths.gate()) > 0 || count_in_flight(paths.entry()) > 0) {
        std::this_thread::yield();
    }
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
}

/// Runs a call to its end, so that an idle connection is kept and the next call is written at once.
void run_one_call(call_path& gate, boost::asio::io_context& io, fake_upstream& upstream) {
    on_message(gate, make_open(100, "/status/200"));
    while (upstream.runs("/status/200") == 0 || count_in_flight(gate) > 0) {
        io.poll();
    }
}

/// Guards against running a cancelled call when an overloaded node reads the call and its cancel
/// together.
TEST(call_path, a_call_that_is_cancelled_in_the_same_batch_does_not_reach_the_upstream) {
    fake_upstream upstream;
    boost::asio::io_context io;
    const auto [gate, port] = start_lone_node(upstream.port(), io);
    run_one_call(*gate, io, upstream);
    on_message(*gate, make_open(1, "/ok"));
    on_message(*gate, make_cancel(1));
    on_message(*gate, make_open(2, "/status/201"));
    while (upstream.runs("/status/201") == 0) {
        io.poll();
    }
    EXPECT_EQ(upstream.runs("/ok"), 0);
    (void)stop(*gate);
    io.poll();
}

/// Guards against closing an upstream's connection that was opened in time, when a late loop sees
/// its success and the end of the time for opening it in one turn.
TEST(call_path, a_late_loop_keeps_a_connection_that_was_opened_in_time) {
    fake_upstream upstream;
    boost::asio::io_context io;
    std::vector<peer_message> sent;
    const auto node = start_lone_node(
        upstream.port(), io, {}, [&](const outgoing& message) { sent.push_back(message.message); });
    on_message(*node.path, make_open(1, "/ok"));
    // Begins to connect.
    io.poll_one();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    while (sent.empty()) {
        io.poll();
    }
    const auto* answer = std::get_if<msg::call_answer_msg>(&sent.front());
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->status, 200);
    (void)stop(*node.path);
    io.poll();
}

/// Guards against running a request that is read after its caller has left.
TEST(call_path, a_request_whose_caller_has_left_is_not_sent_on) {
    fake_upstream upstream;
    boost::asio::io_context io;
    const auto node = start_lone_node(upstream.port(), io);
    run_one_call(*node.path, io, upstream);
    boost::asio::io_context callers;
    const auto connect = [&] {
        boost::asio::ip::tcp::socket socket(callers);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), node.caller_port});
        return socket;
    };
    boost::system::error_code error;
    {
        auto departed = connect();
        departed.send(boost::asio::buffer(request("GET /ok")), 0, error);
    }
    auto waiting_caller = connect();
    waiting_caller.send(boost::asio::buffer(request("GET /status/201")), 0, error);
    while (upstream.runs("/status/201") == 0) {
        io.poll();
    }
    EXPECT_EQ(upstream.runs("/ok"), 0);
    (void)stop(*node.path);
    io.poll();
}

TEST(call_path, entry_and_gate_may_be_one_node) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    EXPECT_EQ(paths.ask(request("GET /ok"), true), "200 upstream ok");
    EXPECT_EQ(paths.ask(request("GET /bytes/3000000"), true), "200 upstream 3000000 bytes");
    EXPECT_EQ(paths.ask(post("/echo", 900'000), true), "200 upstream 900000 bytes");
}

} // namespace
} // namespace cyclamenhatch::edge::testing
