#include "edge/caller_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

/// Exceptions while a caller's connection is handled.
namespace cyclamenhatch::edge::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t answer_pieces = 3;

void throw_if(bool is_faulty) {
    if (is_faulty) {
        throw std::length_error("vector::_M_default_append");
    }
}

/// A listener on a loop of its own. It answers each request in three pieces; the path names the
/// handler that throws: /request, /body, /written, /last-written, or none with /ok.
struct faulty_listener {
    faulty_listener() {
        listener_events events;
        events.on_request = [this](const caller_exchange_ptr& exchange, const request_head& head,
                                   const body_piece& first) {
            paths[exchange] = head.target;
            throw_if(head.target == "/request");
            take(exchange, head.target, first);
        };
        events.on_disconnect = [this](const caller_exchange_ptr& exchange, disconnect_cause cause) {
            ends[paths[exchange]].emplace_back(name_of(cause));
        };
        events.on_fault = [](request_fault) {};
        events.on_exception = [this](const std::string& id, const std::string& reason) {
            faults.push_back(id + ": " + reason);
        };
        events.request_id_header = "x-id";
        listener = start_listener(io, "127.0.0.1", 0, {}, std::move(events));
        loop = std::thread([this] {
            try {
                io.run();
            } catch (const std::exception& error) {
                loop_end = error.what();
                io.stop();
                // Ends the connections, so that no caller waits.
                close_listener(*listener);
                io.restart();
                io.run();
            }
        });
    }
    faulty_listener(const faulty_listener&) = delete;
    faulty_listener& operator=(const faulty_listener&) = delete;
    ~faulty_listener() {
        end();
        paths.clear();
    }

    /// Stops the loop, so that what it recorded may be read.
    void end() {
        if (loop.joinable()) {
            close_listener(*listener);
            loop.join();
        }
    }

    [[nodiscard]] std::uint16_t port() const { return listening_port(*listener); }

    void take(const caller_exchange_ptr& exchange, const std::string& path,
              const body_piece& piece) {
        if (!piece.is_last) {
            read_body(exchange, [this, exchange, path](const body_piece& next) {
                throw_if(path == "/body");
                take(exchange, path, next);
            });
            return;
        }
        start_answer(
            exchange,
            {.status = 200, .headers = {{"Content-Length", std::to_string(answer_pieces)}}},
            {body_bytes(1, 'a'), false}, [this, exchange, path] {
                throw_if(path == "/written");
                write_next(exchange, path, 1);
            });
    }

    void write_next(const caller_exchange_ptr& exchange, const std::string& path,
                    std::size_t written) {
        const bool is_last = written + 1 == answer_pieces;
        write_body(exchange, {body_bytes(1, 'a'), is_last},
                   [this, exchange, path, is_last, written] {
                       throw_if(path == "/last-written" && is_last);
                       if (!is_last) {
                           write_next(exchange, path, written + 1);
                       }
                   });
    }

    asio::io_context io;
    std::vector<std::string> faults;
    std::map<caller_exchange_ptr, std::string> paths;
    /// The causes with which the call path has heard of the ends of requests, by path.
    std::map<std::string, std::vector<std::string>> ends;
    std::string loop_end;
    std::shared_ptr<caller_listener> listener;
    std::thread loop;
};

/// One connection of a caller.
struct caller {
    explicit caller(std::uint16_t port) : socket(io) {
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    /// The answer's body, or "broken off".
    std::string ask(const std::string& path, std::size_t body_size = 0) {
        boost::system::error_code error;
        const auto request = "POST " + path + " HTTP/1.1\r\nHost: shop\r\nx-id: of" + path +
                             "\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n" +
                             std::string(body_size, 'b');
        asio::write(socket, asio::buffer(request), error);
        http::response_parser<http::string_body> parser;
        http::read(socket, buffer, parser, error);
        return error ? "broken off" : parser.get().body();
    }

    asio::io_context io;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

struct fault_row {
    const char* name;
    const char* path;
    std::size_t body_size;
    const char* answer;
};

class fault_of_a_connection : public ::testing::TestWithParam<fault_row> {};

/// Guards against one caller's request whose handling fails and that ends the calls of all others,
/// against an answer that looks whole and is not, and against a call that nobody ends.
TEST_P(fault_of_a_connection, ends_that_connection_and_no_other) {
    faulty_listener node;
    caller other(node.port());
    EXPECT_EQ(other.ask("/ok"), "aaa");
    caller faulty(node.port());
    EXPECT_EQ(faulty.ask(GetParam().path, GetParam().body_size), GetParam().answer);
    EXPECT_EQ(faulty.ask("/ok"), "broken off");
    EXPECT_EQ(other.ask("/ok"), "aaa");
    node.end();
    EXPECT_EQ(node.loop_end, "");
    EXPECT_EQ(node.faults, std::vector<std::string>{"of" + std::string(GetParam().path) +
                                                    ": vector::_M_default_append"});
    EXPECT_EQ(node.ends[GetParam().path], std::vector<std::string>{"handler_failed"});
}

INSTANTIATE_TEST_SUITE_P(handlers, fault_of_a_connection,
                         ::testing::Values(fault_row{"request", "/request", 0, "broken off"},
                                           fault_row{"body", "/body", 3 * piece_bytes,
                                                     "broken off"},
                                           fault_row{"written", "/written", 0, "broken off"},
                                           fault_row{"last_written", "/last-written", 0, "aaa"}),
                         [](const auto& row) { return std::string(row.param.name); });

} // namespace
} // namespace cyclamenhatch::edge::testing
