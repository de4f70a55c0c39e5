#include "net/http_client.h"
#include "net/http_service.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace cyclamenhatch::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr milliseconds patience{10'000};

std::shared_ptr<http_client> connect_to(asio::io_context& io, std::uint16_t port) {
    return make_http_client(io, {.ip = "127.0.0.1", .port = port});
}

/// Runs the loop until the request has its outcome.
http_outcome ask(asio::io_context& io, http_client& client, http_request request,
                 milliseconds timeout = patience) {
    std::optional<http_outcome> told;
    send(client, std::move(request), timeout, [&](const http_outcome& outcome) { told = outcome; });
    EXPECT_FALSE(told);
    while (!told) {
        io.run_one();
    }
    return *told;
}

TEST(http, requests_reach_the_service_and_are_answered) {
    asio::io_context io;
    const auto service = start_http_service(io, "127.0.0.1", 0, [](const service_request& asked) {
        return service_answer{.status = 201, .body = asked.method + asked.target + asked.body};
    });
    const auto client = connect_to(io, service_port(*service));
    for (const auto* body : {"", "a body"}) {
        const auto told = ask(io, *client, {"PUT", "/x?y=1", body});
        ASSERT_TRUE(std::holds_alternative<http_response>(told));
        EXPECT_EQ(std::get<http_response>(told).status, 201U);
        EXPECT_EQ(std::get<http_response>(told).body, std::string("PUT/x?y=1") + body);
    }
    close(*client);
    stop(*service);
}

TEST(http, a_body_past_the_bound_is_refused) {
    asio::io_context io;
    int calls = 0;
    const auto service = start_http_service(io, "127.0.0.1", 0, [&](const service_request&) {
        ++calls;
        return service_answer{};
    });
    const auto client = connect_to(io, service_port(*service));
    const auto told = ask(io, *client, {"PUT", "/", std::string(100'000, 'x')});
    // Whether the refusal or the close is seen first, the request was not handled.
    if (const auto* answer = std::get_if<http_response>(&told)) {
        EXPECT_EQ(answer->status, 413U);
    }
    EXPECT_EQ(calls, 0);
    close(*client);
    stop(*service);
}

/// Guards against memory held for a client whose chunk has a size line without end.
TEST(http, a_chunk_whose_size_line_does_not_end_is_refused_at_a_bound) {
    asio::io_context io;
    const auto service = start_http_service(
        io, "127.0.0.1", 0, [](const service_request&) { return service_answer{}; });
    std::thread serving([&] { io.run(); });
    asio::io_context clients;
    tcp::socket client(clients);
    client.connect({asio::ip::make_address("127.0.0.1"), service_port(*service)});
    boost::system::error_code failed;
    const std::string head = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;";
    asio::write(client, asio::buffer(head), failed);
    constexpr std::uint64_t most_bytes = 64ULL << 20U;
    const std::string block(65'536, 'a');
    std::uint64_t sent = 0;
    while (!failed && sent < most_bytes) {
        sent += asio::write(client, asio::buffer(block), failed);
    }
    EXPECT_TRUE(failed) << "took all that the client had to send";
    asio::post(io, [&] { stop(*service); });
    serving.join();
}

TEST(http, where_nobody_listens_nothing_was_sent) {
    asio::io_context io;
    // Port 1 takes no connections.
    const auto client = connect_to(io, 1);
    EXPECT_TRUE(std::holds_alternative<not_sent>(ask(io, *client, {"GET", "/", ""})));
}

TEST(http, a_silent_server_leaves_the_outcome_open) {
    asio::io_context io;
    tcp::acceptor silent(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const auto client = connect_to(io, silent.local_endpoint().port());
    const auto told = ask(io, *client, {"POST", "/", "x"}, milliseconds{50});
    EXPECT_TRUE(std::holds_alternative<no_answer>(told));
}

TEST(http, nothing_is_told_after_close) {
    asio::io_context io;
    tcp::acceptor silent(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const auto client = connect_to(io, silent.local_endpoint().port());
    bool is_told = false;
    send(*client, {"GET", "/", ""}, patience, [&](const http_outcome&) { is_told = true; });
    close(*client);
    io.run();
    EXPECT_FALSE(is_told);
}

} // namespace
} // namespace cyclamenhatch::net
