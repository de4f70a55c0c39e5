#pragma once

#include "edge/caller_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_set>

/// One caller's connection: the inside of caller_listener. Heavy to include; only the listener's
/// own files do.
namespace cyclamenhatch::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using caller_strand = asio::strand<asio::io_context::executor_type>;
using caller_socket = asio::basic_stream_socket<asio::ip::tcp, caller_strand>;

struct caller_session;

struct caller_listener {
    caller_listener(asio::io_context& context, listener_limits bounds, listener_events handlers)
        : io(context), limits(bounds), events(std::move(handlers)), acceptor(context) {}

    asio::io_context& io;
    const listener_limits limits;
    const listener_events events;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> is_stopping{false};
    mutable std::mutex lock;
    /// Guarded by lock. A session removes itself when it ends.
    std::unordered_set<caller_session*> sessions;
};

struct caller_exchange {
    explicit caller_exchange(std::shared_ptr<caller_session> on) : owner(std::move(on)) {}

    const std::shared_ptr<caller_session> owner;
    // All below is used on the session's strand only.
    std::optional<http::request_parser<http::buffer_body>> parser;
    body_bytes incoming;
    std::function<void(body_piece)> on_piece;
    http::response<http::buffer_body> answer;
    std::optional<http::response_serializer<http::buffer_body>> serializer;
    body_bytes outgoing;
    /// The call path has the request.
    bool is_handed_over = false;
    bool is_answered = false;
    bool is_over = false;
};

/// Everything but the construction happens on the socket's strand.
struct caller_session : std::enable_shared_from_this<caller_session> {
    caller_session(std::shared_ptr<caller_listener> of, caller_socket from);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session();

    const std::shared_ptr<caller_listener> listener;
    caller_socket socket;
    const caller_strand executor;
    boost::beast::flat_buffer buffer;
    caller_exchange_ptr current;
    /// The next request's head is read while an answer is under way, so that a close is noticed.
    caller_exchange_ptr next;
    /// Set when the next head came before the answer was complete.
    std::optional<boost::system::error_code> next_result;
    std::size_t discarded = 0;
    body_bytes waste;
    /// The caller has to send or to take something; it may not do so forever.
    bool is_waiting_for_caller = true;
    std::chrono::steady_clock::time_point active_at = std::chrono::steady_clock::now();
};

using caller_session_ptr = std::shared_ptr<caller_session>;

/// Starts to read the head of the connection's next request.
void read_head(const caller_session_ptr& self);

/// Reads the next piece of the current request's body for its on_piece.
void read_piece(const caller_session_ptr& self);

/// Sends what stands in the current exchange's answer; `done` when it was taken.
void write_answer(const caller_session_ptr& self, body_piece piece, std::function<void()> done);

/// Closes the connection and tells the call path when an exchange was under way.
void close_session(const caller_session_ptr& self);

/// Fills the answer's status, headers and framing from what the call path gave.
void fill_answer(caller_exchange& of, const answer_head& head, const body_piece& first);

} // namespace cyclamenhatch::edge
