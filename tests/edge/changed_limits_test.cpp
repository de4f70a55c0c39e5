#include "edge/caller_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

/// The operators change what callers may send while connections are open.
namespace cyclamenhatch::edge::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr listener_limits narrow{.max_header_bytes = 1024, .max_body_bytes = 4'000};
constexpr listener_limits wide{.max_header_bytes = 16'384, .max_body_bytes = 1'000'000};

std::string make_head(std::size_t body_size, std::size_t padding = 1) {
    return "POST /item HTTP/1.1\r\nHost: shop\r\nx-padding: " + std::string(padding, 'p') +
           "\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

std::string make_request(std::size_t body_size, std::size_t padding = 1) {
    return make_head(body_size, padding) + std::string(body_size, 'b');
}

std::string make_chunk(std::size_t size) {
    std::ostringstream text;
    text << std::hex << size << "\r\n" << std::string(size, 'c') << "\r\n";
    return text.str();
}

/// A listener that answers 200 to each request it has read whole, and the connection of a caller,
/// on one loop that runs in steps.
struct open_connection {
    explicit open_connection(const listener_limits& limits) : socket(io) {
        listener_events events;
        events.on_request = [this](const caller_exchange_ptr& exchange, const request_head&,
                                   const body_piece& first) { take(exchange, first); };
        events.on_disconnect = [](const caller_exchange_ptr&, disconnect_cause) {};
        events.on_fault = [](request_fault) {};
        listener = start_listener(io, "127.0.0.1", 0, limits, std::move(events));
        socket.connect({asio::ip::make_address("127.0.0.1"), listening_port(*listener)});
        settle();
    }
    open_connection(const open_connection&) = delete;
    open_connection& operator=(const open_connection&) = delete;
    ~open_connection() {
        close_listener(*listener);
        held.clear();
        io.restart();
        io.poll();
    }

    void take(const caller_exchange_ptr& exchange, const body_piece& piece) {
        if (!piece.is_last) {
            read_body(exchange, [this, exchange](const body_piece& next) { take(exchange, next); });
        } else if (holds_answers) {
            held.push_back(exchange);
        } else {
            answer(exchange);
        }
    }

    static void answer(const caller_exchange_ptr& exchange) {
        start_answer(exchange, {.status = 200, .headers = {{"Content-Length", "2"}}},
                     {body_bytes(2, 'a'), true}, {});
    }

    void answer_held() {
        holds_answers = false;
        for (const auto& exchange : std::exchange(held, {})) {
            answer(exchange);
        }
        settle();
    }

    /// Runs what is ready, and what becomes ready by it.
    void settle() {
        while (io.run_one_for(settle_time) > 0) {
        }
    }

    void change(const listener_limits& limits) {
        set_limits(*listener, limits);
        settle();
    }

    void send(const std::string& bytes) {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        settle();
    }

    /// The status of the next answer; 0 when there is none within 2 s.
    unsigned receive() {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{2};
        while (buffer.size() == 0 && socket.available() == 0 &&
               std::chrono::steady_clock::now() < end) {
            io.run_one_for(settle_time);
        }
        boost::system::error_code error;
        http::response_parser<http::string_body> parser;
        http::read(socket, buffer, parser, error);
        return error ? 0 : parser.get().result_int();
    }

    unsigned ask(const std::string& request) {
        send(request);
        return receive();
    }

    static constexpr std::chrono::milliseconds settle_time{20};

    asio::io_context io;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<caller_listener> listener;
    bool holds_answers = false;
    std::vector<caller_exchange_ptr> held;
};

/// Guards against a request on a kept connection that is refused by the limits that were in force
/// when the request before it ended (DENIED).
TEST(changed_limits, hold_for_the_next_request_of_a_kept_connection) {
    open_connection caller(narrow);
    EXPECT_EQ(caller.ask(make_request(1'000)), 200U);
    caller.change(wide);
    EXPECT_EQ(caller.ask(make_request(20'000)), 200U);
    EXPECT_EQ(caller.ask(make_request(10, 8'000)), 200U);
    caller.change(narrow);
    EXPECT_EQ(caller.ask(make_request(20'000)), 413U);
}

TEST(changed_limits, hold_for_the_first_request_of_a_waiting_connection) {
    open_connection large_body(narrow);
    large_body.change(wide);
    EXPECT_EQ(large_body.ask(make_request(20'000)), 200U);
    open_connection large_head(narrow);
    large_head.change(wide);
    EXPECT_EQ(large_head.ask(make_request(10, 8'000)), 200U);
    open_connection lowered(wide);
    lowered.change(narrow);
    EXPECT_EQ(lowered.ask(make_request(10, 8'000)), 431U);
}

/// Only the last of the limits counts for a request that begins after all of them.
TEST(changed_limits, may_change_often_while_a_connection_is_idle) {
    for (const bool ends_wide : {true, false}) {
        open_connection caller(wide);
        EXPECT_EQ(caller.ask(make_request(1'000)), 200U);
        for (int i = 0; i < 6; ++i) {
            caller.change(i % 2 == 0 ? narrow : wide);
        }
        caller.change(ends_wide ? wide : narrow);
        EXPECT_EQ(caller.ask(make_request(20'000)), ends_wide ? 200U : 413U);
    }
}

/// Guards against a request that is refused by limits that came while it was on its way: either
/// configuration may be in force.
TEST(changed_limits, of_a_head_in_two_pieces_are_the_wider_ones) {
    for (const bool is_raised : {true, false}) {
        open_connection caller(is_raised ? narrow : wide);
        const auto request = make_request(20'000, 8'000);
        caller.send(request.substr(0, 500));
        caller.change(is_raised ? wide : narrow);
        caller.send(request.substr(500, 2'000));
        caller.change(narrow);
        EXPECT_EQ(caller.ask(request.substr(2'500)), 200U) << is_raised;
        EXPECT_EQ(caller.ask(make_request(20'000)), 413U) << "the next one begins under the last";
    }
}

TEST(changed_limits, hold_for_a_request_behind_an_open_one) {
    open_connection caller(narrow);
    caller.holds_answers = true;
    caller.send(make_request(1'000));
    ASSERT_EQ(caller.held.size(), 1U);
    caller.change(wide);
    caller.send(make_request(20'000));
    caller.answer_held();
    EXPECT_EQ(caller.receive(), 200U);
    EXPECT_EQ(caller.receive(), 200U);
}

/// Guards against a body in chunks that is cut off by the limits at its beginning.
TEST(changed_limits, hold_for_a_body_that_is_being_read) {
    const std::string head =
        "POST /item HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const bool is_raised : {true, false}) {
        open_connection caller(narrow);
        caller.send(head + make_chunk(3'000));
        if (is_raised) {
            caller.change({.max_header_bytes = 1024, .max_body_bytes = 20'000});
        }
        caller.send(make_chunk(3'000) + make_chunk(10'000));
        EXPECT_EQ(caller.ask("0\r\n\r\n"), is_raised ? 200U : 413U);
    }
    open_connection lowered(wide);
    lowered.send(head + make_chunk(3'000));
    lowered.change(narrow);
    EXPECT_EQ(lowered.ask(make_chunk(10'000) + "0\r\n\r\n"), 200U);
    open_connection too_large(narrow);
    too_large.send(head + make_chunk(3'000));
    too_large.change({.max_header_bytes = 1024, .max_body_bytes = 20'000});
    EXPECT_EQ(too_large.ask(make_chunk(18'000) + "0\r\n\r\n"), 413U) << "the whole body counts";
}

} // namespace
} // namespace cyclamenhatch::edge::testing
