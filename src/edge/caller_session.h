#pragma once

#include "edge/caller_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <deque>
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
using steady_instant = std::chrono::steady_clock::time_point;

struct caller_session;

struct caller_listener {
    caller_listener(asio::io_context& context, const listener_limits& bounds,
                    listener_events handlers)
        : io(context), events(std::move(handlers)), acceptor(context), limits(bounds) {}

    asio::io_context& io;
    const listener_events events;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> is_stopping{false};
    /// Answers tell callers to open another connection.
    std::atomic<bool> is_draining{false};
    mutable std::mutex lock;
    // Guarded by lock.
    listener_limits limits;
    /// A session removes itself when it ends.
    std::unordered_set<caller_session*> sessions;
};

/// A part of an answer that waits until the answers before it are written.
struct waiting_piece {
    /// Set on the first piece.
    std::optional<answer_head> head;
    body_piece piece;
    std::function<void()> done;
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
    std::deque<waiting_piece> waiting;
    /// The call path has the request.
    bool is_handed_over = false;
    bool is_answered = false;
    bool is_over = false;
    bool is_writing = false;
    /// The connection closes after this answer, whatever the caller asked for.
    bool is_last = false;
    /// The rest of the answer is lost: the connection closes when its turn comes.
    bool is_broken = false;
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
    /// Requests whose answers are not written yet, in the order in which they came. Only the answer
    /// to the first is written.
    std::deque<caller_exchange_ptr> open;
    /// The request whose head is being read; null while another is still being taken in, or while
    /// as many wait as may.
    caller_exchange_ptr next;
    std::size_t discarded = 0;
    body_bytes waste;
    bool is_closing = false;
    /// A request of this connection was handed over.
    bool is_used = false;
    /// Set when the head being read took too long.
    bool is_head_late = false;
    /// The caller has to send or to take something; it may not do so forever.
    bool is_waiting_for_caller = true;
    steady_instant active_at = std::chrono::steady_clock::now();
    /// When the first byte of the head being read was seen; nothing before.
    std::optional<steady_instant> head_since;
};

using caller_session_ptr = std::shared_ptr<caller_session>;

/// Starts to read the head of the connection's next request, unless one is being read or as many
/// wait as may.
void read_head(const caller_session_ptr& self);

/// Reads the next piece of a request's body for its on_piece.
void read_piece(const caller_session_ptr& self, const caller_exchange_ptr& of);

/// Queues a piece of an answer and writes what is due.
void queue_piece(const caller_exchange_ptr& of, waiting_piece piece);

/// Breaks off an answer once those before it are written.
void break_answer(const caller_exchange_ptr& of);

/// Closes the connection and tells the call path of each exchange that was under way, and why.
void close_session(const caller_session_ptr& self, caller_end cause);

/// Ends a connection that has been silent for too long, as of now.
void check_silence(const caller_session_ptr& self, steady_instant now);

} // namespace cyclamenhatch::edge
