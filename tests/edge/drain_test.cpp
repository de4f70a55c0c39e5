#include "joined_paths.h"

#include "clock/process_clock.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>

/// What callers get from a node that stops.
namespace cyclamenhatch::edge::testing {
namespace {

/// A caller's connection, read and written by blocking calls.
class caller_connection {
public:
    explicit caller_connection(std::uint16_t port) : socket(io) {
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string& text) {
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(text), error);
    }

    /// The head of the next answer.
    std::string read_head() {
        boost::system::error_code error;
        const auto size = boost::asio::read_until(socket, boost::asio::dynamic_buffer(received),
                                                  "\r\n\r\n", error);
        auto head = received.substr(0, size);
        received.erase(0, size);
        return head;
    }

    /// All that follows until the connection ends.
    std::string read_to_end() {
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
        return std::move(received);
    }

private:
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket;
    std::string received;
};

/// Guards against callers that are left with a closed connection when their node stops.
TEST(call_path, a_call_without_an_answer_gets_one_before_its_node_ends) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    auto answer = std::async(std::launch::async, [&] { return paths.get("/hold"); });
    upstream.wait_for_runs("/hold", 1);
    EXPECT_EQ(answer_pending_calls(paths.entry()), 1U);
    EXPECT_EQ(answer.get().substr(0, 11), "504 unknown");
    EXPECT_EQ(answer_pending_calls(paths.entry()), 0U);
    upstream.release();
}

/// Whether the upstream runs the path within 300 ms.
bool runs_soon(fake_upstream& upstream, const std::string& path) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
    while (upstream.runs(path) == 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return upstream.runs(path) > 0;
}

/// Guards against a request that is passed on behind an answer which closes its connection: it is
/// run, and its caller gets no answer (LOST).
TEST(call_path, nothing_is_passed_on_behind_an_answer_that_closes_the_connection) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    caller_connection caller(paths.entry_port());
    // More than the connection takes before its caller reads.
    constexpr std::size_t size = 30'000'000;
    const auto path = "/hold-bytes/" + std::to_string(size);
    caller.send(request("GET " + path));
    upstream.wait_for_runs(path, 1);
    begin_drain(paths.entry());
    upstream.release();
    const auto head = caller.read_head();
    EXPECT_NE(head.find("Connection: close"), std::string::npos) << head;
    caller.send(request("GET /ok"));
    EXPECT_FALSE(runs_soon(upstream, "/ok"));
    EXPECT_EQ(caller.read_to_end().size(), size);
}

/// Guards against a request that is passed on behind the last answer of a node that takes no more
/// callers: it is run, and its caller gets no answer (LOST). One that was read before is answered.
TEST(call_path, nothing_is_passed_on_once_the_node_takes_no_more_callers) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    caller_connection caller(paths.entry_port());
    caller.send(request("GET /hold"));
    upstream.wait_for_runs("/hold", 1);
    stop_accepting(paths.entry());
    // The node was reading this one already.
    caller.send(request("GET /status/201"));
    upstream.wait_for_runs("/status/201", 1);
    caller.send(request("GET /ok"));
    EXPECT_FALSE(runs_soon(upstream, "/ok"));
    upstream.release();
    EXPECT_EQ(caller.read_head().find("Connection: close"), std::string::npos);
    const auto rest = caller.read_to_end();
    EXPECT_NE(rest.find("HTTP/1.1 201"), std::string::npos) << rest;
    EXPECT_NE(rest.find("Connection: close"), std::string::npos) << rest;
    EXPECT_EQ(upstream.runs("/ok"), 0);
}

/// Guards against dropping a request unread behind an answer that said the connection goes on.
TEST(call_path, a_request_behind_a_kept_answer_is_served_when_the_node_takes_no_more_callers) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    caller_connection caller(paths.entry_port());
    constexpr std::size_t size = 30'000'000;
    caller.send(request("GET /bytes/" + std::to_string(size)));
    EXPECT_EQ(caller.read_head().find("Connection: close"), std::string::npos);
    stop_accepting(paths.entry());
    caller.send(request("GET /status/201"));
    const auto rest = caller.read_to_end();
    EXPECT_GT(rest.size(), size);
    EXPECT_NE(rest.find("HTTP/1.1 201"), std::string::npos);
}

/// Guards against pipelined requests that were passed on before the node took no more callers and
/// get no answer (LOST).
TEST(call_path, what_was_passed_on_is_answered_when_the_node_takes_no_more_callers) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    caller_connection caller(paths.entry_port());
    caller.send(request("GET /hold") + request("GET /status/201"));
    upstream.wait_for_runs("/hold", 1);
    upstream.wait_for_runs("/status/201", 1);
    stop_accepting(paths.entry());
    upstream.release();
    EXPECT_EQ(caller.read_head().find("Connection: close"), std::string::npos);
    EXPECT_NE(caller.read_to_end().find("HTTP/1.1 201"), std::string::npos);
}

/// Guards against a request that may not be repeated and is passed on late in the grace time,
/// behind an answer of the node itself: it is cut with no answer when the node ends (LOST).
TEST(call_path, nothing_is_passed_on_behind_an_answer_of_a_node_that_stops) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    caller_connection caller(paths.entry_port());
    caller.send(request("GET /hold") + request("POST /once/status/201"));
    upstream.wait_for_runs("/hold", 1);
    begin_drain(paths.entry());
    stop_accepting(paths.entry());
    EXPECT_EQ(answer_pending_calls(paths.entry()), 1U);
    EXPECT_FALSE(runs_soon(upstream, "/once/status/201"));
    const auto answers = caller.read_to_end();
    EXPECT_NE(answers.find("HTTP/1.1 504"), std::string::npos) << answers;
    EXPECT_EQ(answers.find("HTTP/1.1 201"), std::string::npos) << answers;
    upstream.release();
}

/// Guards against passing on a late call that the end of its node cuts: it is refused as not run.
TEST(call_path, a_call_that_may_outlast_its_node_is_refused) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    auto slow = std::async(std::launch::async, [&] { return paths.get("/hold"); });
    upstream.wait_for_runs("/hold", 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    upstream.release();
    EXPECT_EQ(slow.get().substr(0, 3), "200");
    begin_drain(paths.entry(), current_time() + milliseconds(100));
    EXPECT_EQ(paths.get("/ok").substr(0, 11), "503 not-run");
    EXPECT_EQ(upstream.runs("/ok"), 0);
}

/// Guards against upstreams that work on a late call beyond the end of its node.
TEST(call_path, a_call_is_to_end_before_its_node) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    constexpr int runs_end_ms = 5000;
    begin_drain(paths.entry(), current_time() + milliseconds(runs_end_ms));
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
    const auto head = upstream.last_head();
    const std::string name = "cyclamenhatch-deadline-ms: ";
    const auto position = head.find(name);
    ASSERT_NE(position, std::string::npos) << head;
    EXPECT_LE(std::stoi(head.substr(position + name.size())), runs_end_ms);
}

/// Guards against a deadline that moves with the time that a request waits behind another on its
/// connection.
TEST(call_path, a_request_that_waits_behind_another_keeps_its_deadline) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    caller_connection caller(paths.entry_port());
    caller.send(request("GET /hold") +
                request("POST /once/status/201", "cyclamenhatch-deadline-ms: 50\r\n"));
    upstream.wait_for_runs("/hold", 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    upstream.release();
    EXPECT_NE(caller.read_head().find("HTTP/1.1 200"), std::string::npos);
    EXPECT_FALSE(runs_soon(upstream, "/once/status/201"));
}

} // namespace
} // namespace cyclamenhatch::edge::testing
