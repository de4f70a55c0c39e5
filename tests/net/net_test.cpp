#include "net/http_client.h"
#include "net/http_service.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenhatch::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr milliseconds test_timeout{10'000};

std::shared_ptr<http_client> connect_to(asio::io_context& io, std::uint16_t port) {
    return make_http_client(io, {.ip = "127.0.0.1", .port = port});
}

/// Sends a request and runs the loop until its outcome is known.
http_outcome send_and_wait(asio::io_context& io, http_client& client, http_request request,
                           milliseconds timeout = test_timeout) {
    std::optional<http_outcome> result;
    send(client, std::move(request), timeout,
         [&](const http_outcome& outcome) { result = outcome; });
    EXPECT_FALSE(result);
    while (!result) {
        io.run_one();
    }
    return *result;
}

TEST(http, requests_reach_the_service_and_are_answered) {
    asio::io_context io;
    const auto service = start_http_service(io, "127.0.0.1", 0, [](const service_request& request) {
        return service_answer{.status = 201,
                              .body = request.method + request.target + request.body};
    });
    const auto client = connect_to(io, service_port(*service));
    for (const auto* body : {"", "a body"}) {
        const auto result = send_and_wait(io, *client, {"PUT", "/x?y=1", body});
        ASSERT_TRUE(std::holds_alternative<http_response>(result));
        EXPECT_EQ(std::get<http_response>(result).status, 201U);
        EXPECT_EQ(std::get<http_response>(result).body, std::string("PUT/x?y=1") + body);
    }
    close(*client);
    stop(*service);
}

/// A service that keeps the replies until the test sends them.
struct deferring_service {
    asio::io_context io;
    std::vector<service_reply> replies;
    std::shared_ptr<http_service> service =
        start_http_service(io, "127.0.0.1", 0, [this](const service_request&, service_reply reply) {
            replies.push_back(std::move(reply));
        });
    std::shared_ptr<http_client> client = connect_to(io, service_port(*service));

    ~deferring_service() {
        replies.clear();
        close(*client);
        stop(*service);
        io.poll();
    }

    void wait_for_request() {
        while (replies.empty()) {
            io.run_one();
        }
    }
};

TEST(http, an_answer_may_come_later) {
    deferring_service deferring;
    std::optional<http_outcome> result;
    send(*deferring.client, {"PUT", "/", ""}, test_timeout,
         [&](const http_outcome& outcome) { result = outcome; });
    deferring.wait_for_request();
    EXPECT_FALSE(result);
    deferring.replies.front()({.status = 202});
    while (!result) {
        deferring.io.run_one();
    }
    ASSERT_TRUE(std::holds_alternative<http_response>(*result));
    EXPECT_EQ(std::get<http_response>(*result).status, 202U);
}

TEST(http, an_answer_after_the_end_of_the_service_goes_nowhere) {
    deferring_service deferring;
    send(*deferring.client, {"PUT", "/", ""}, test_timeout, [](const http_outcome&) {});
    deferring.wait_for_request();
    stop(*deferring.service);
    deferring.replies.front()({.status = 202});
    deferring.io.poll();
}

TEST(http, a_body_above_the_limit_is_refused) {
    asio::io_context io;
    int calls = 0;
    const auto service = start_http_service(io, "127.0.0.1", 0, [&](const service_request&) {
        ++calls;
        return service_answer{};
    });
    const auto client = connect_to(io, service_port(*service));
    const auto result = send_and_wait(io, *client, {"PUT", "/", std::string(100'000, 'x')});
    // The client may see the refusal or the close first; the request is not handled in either case.
    if (const auto* answer = std::get_if<http_response>(&result)) {
        EXPECT_EQ(answer->status, 413U);
    }
    EXPECT_EQ(calls, 0);
    close(*client);
    stop(*service);
}

/// Guards against one request whose handling fails and that ends the node, and against a client
/// that takes its answer for a whole one.
TEST(http, a_fault_of_a_request_ends_its_connection_and_no_other) {
    asio::io_context io;
    std::vector<std::string> lines;
    const auto service = start_http_service(
        io, "127.0.0.1", 0,
        [](const service_request& request) {
            if (request.target == "/faulty?x=1") {
                throw std::length_error("vector::_M_default_append");
            }
            return service_answer{};
        },
        [&](const log_event& event) { lines.push_back(to_line(event)); });
    const auto client = connect_to(io, service_port(*service));
    EXPECT_TRUE(
        std::holds_alternative<no_answer>(send_and_wait(io, *client, {"GET", "/faulty?x=1", ""})));
    EXPECT_TRUE(
        std::holds_alternative<http_response>(send_and_wait(io, *client, {"GET", "/ok", ""})));
    EXPECT_EQ(lines,
              std::vector<std::string>{"event=handler_failed place=http_service request=/faulty "
                                       "reason=vector::_M_default_append"});
    close(*client);
    stop(*service);
}

/// Guards against unbounded memory use for a client that sends an endless chunk size line.
TEST(http, an_endless_chunk_size_line_is_refused_at_the_limit) {
    asio::io_context io;
    const auto service = start_http_service(
        io, "127.0.0.1", 0, [](const service_request&) { return service_answer{}; });
    std::thread serving([&] { io.run(); });
    asio::io_context clients;
    tcp::socket client(clients);
    client.connect({asio::ip::make_address("127.0.0.1"), service_port(*service)});
    boost::system::error_code error;
    const std::string head = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;";
    asio::write(client, asio::buffer(head), error);
    constexpr std::uint64_t max_sent_bytes = 64ULL << 20U;
    const std::string block(65'536, 'a');
    std::uint64_t sent = 0;
    while (!error && sent < max_sent_bytes) {
        sent += asio::write(client, asio::buffer(block), error);
    }
    EXPECT_TRUE(error) << "took all that the client had to send";
    asio::post(io, [&] { stop(*service); });
    serving.join();
}

TEST(http, a_refused_connection_reports_not_sent) {
    asio::io_context io;
    // Nothing listens on port 1.
    const auto client = connect_to(io, 1);
    EXPECT_TRUE(std::holds_alternative<not_sent>(send_and_wait(io, *client, {"GET", "/", ""})));
}

TEST(http, a_silent_server_gives_no_answer) {
    asio::io_context io;
    tcp::acceptor silent(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const auto client = connect_to(io, silent.local_endpoint().port());
    const auto result = send_and_wait(io, *client, {"POST", "/", "x"}, milliseconds{50});
    EXPECT_TRUE(std::holds_alternative<no_answer>(result));
}

TEST(http, no_outcome_is_reported_after_close) {
    asio::io_context io;
    tcp::acceptor silent(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const auto client = connect_to(io, silent.local_endpoint().port());
    bool is_called = false;
    send(*client, {"GET", "/", ""}, test_timeout, [&](const http_outcome&) { is_called = true; });
    close(*client);
    io.run();
    EXPECT_FALSE(is_called);
}

} // namespace
} // namespace cyclamenhatch::net
