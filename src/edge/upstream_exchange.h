#pragma once

#include "edge/upstream_connection.h"
#include "model/handler_guard.h"
#include "net/answer_parser.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// State of an exchange. Internals of upstream_client; include only from its source files.
namespace cyclamenhatch::edge {

struct upstream_exchange {
    explicit upstream_exchange(upstream_strand strand)
        : executor(std::move(strand)), timer(executor) {}

    const upstream_strand executor;
    asio::steady_timer timer;
    std::shared_ptr<upstream_client> client;
    // All members below are used on the strand only, except for the atomics.
    std::unique_ptr<upstream_connection> connection;
    std::vector<tcp::endpoint> targets;
    std::size_t next_target = 0;
    /// Empty once the exchange has ended and its last handler has returned.
    upstream_events events;
    /// The handler of that name in `events`, kept to the end of the exchange.
    std::function<void(const std::string&)> on_exception;
    answer_match match;
    request_head head;
    body_bytes outgoing;
    boost::beast::http::request<boost::beast::http::buffer_body> request;
    std::optional<boost::beast::http::request_serializer<boost::beast::http::buffer_body>>
        serializer;
    std::optional<net::answer_parser<boost::beast::http::buffer_body>> parser;
    body_bytes incoming;
    std::function<void(body_piece)> on_piece;
    bool is_reused = false;
    bool is_connecting = false;
    bool is_sent = false;
    /// Whether a later piece of the request's body is being written.
    bool is_writing = false;
    /// Whether a write has found the connection reset. A socket reports an error once, so that
    /// reads see an end of file after that.
    bool is_reset = false;
    /// Continues at an end of file that was read during a write; null if there was none.
    void (*after_write)(const std::shared_ptr<upstream_exchange>&) = nullptr;
    /// Whether the answer being read belongs to an earlier request.
    bool is_skipping = false;
    /// Whether the head of the answer to this request was read.
    std::atomic<bool> has_own_answer{false};
    /// Whether that head was passed on.
    bool is_head_read = false;
    bool is_done = false;
    /// Ended by an exception; its owner is still to be told.
    bool is_faulty = false;
    std::atomic<std::uint64_t> bytes_read{0};
    /// Bytes of the answer's body that were passed on.
    std::uint64_t passed_bytes = 0;
};

void close_connection(upstream_connection& connection);

/// Ends the exchange without a whole answer, unless it has already ended.
void fail(const upstream_exchange_ptr& self, bool is_not_run);

/// Ends the exchange for an exception that was thrown while it was handled: its connection closes
/// at once, its owner is told later that there is no whole answer.
void end_faulty(const upstream_exchange_ptr& self, const std::string& reason);

/// Runs the body of one of the exchange's handlers; an exception ends the exchange. Call it on the
/// exchange's strand.
template <class Body> void run_handler(const upstream_exchange_ptr& self, Body&& body) {
    guard_handler(
        [&] {
            body();
            if (self->is_done && !self->is_faulty) {
                // The callbacks may hold the exchange itself.
                self->events = {};
            }
        },
        [&](const std::string& reason) { end_faulty(self, reason); });
}

/// Reads the answer whose request is being sent, up to its first piece. Answers to earlier requests
/// and informational ones are dropped.
void read_answer(const upstream_exchange_ptr& self);

/// Reads the next piece of the answer's body.
void read_piece(const upstream_exchange_ptr& self);

/// Continues with the end of file that was read during a write, if one was. Precondition: no write
/// is in flight.
void continue_at_end(const upstream_exchange_ptr& self);

} // namespace cyclamenhatch::edge
