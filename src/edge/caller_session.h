#pragma once

#include "edge/caller_listener.h"
#include "model/handler_guard.h"

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

/// One caller's connection. Internals of caller_listener; include only from the listener's source
/// files, since the includes are costly to compile.
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

/// A part of an answer that waits until the earlier answers are written.
struct waiting_piece {
    /// Set on the first piece.
    std::optional<answer_head> head;
    body_piece piece;
    std::function<void()> on_done;
};

struct caller_exchange {
    explicit caller_exchange(std::shared_ptr<caller_session> session) : owner(std::move(session)) {}

    const std::shared_ptr<caller_session> owner;
    // All members below are used on the session's strand only.
    /// When the request's head was read.
    instant read_at{};
    std::optional<http::request_parser<http::buffer_body>> parser;
    /// What the request may take: the widest limits since its first byte arrived.
    listener_limits limits;
    /// Bytes of the request's body in the pieces that were read whole.
    std::uint64_t received_bytes = 0;
    body_bytes incoming;
    std::function<void(body_piece)> on_piece;
    http::response<http::buffer_body> answer;
    std::optional<http::response_serializer<http::buffer_body>> serializer;
    body_bytes outgoing;
    std::deque<waiting_piece> waiting_pieces;
    /// The request was passed to the call path.
    bool is_handed_over = false;
    bool is_answered = false;
    bool is_over = false;
    bool is_writing = false;
    /// The connection closes after this answer, even if the caller asked for keep-alive.
    bool is_last = false;
    /// The rest of the answer is lost: the connection closes once the earlier answers are written.
    bool is_broken = false;
};

/// Used on the socket's strand only, except for construction.
struct caller_session : std::enable_shared_from_this<caller_session> {
    caller_session(std::shared_ptr<caller_listener> listener_ptr, caller_socket connected_socket);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session();

    const std::shared_ptr<caller_listener> listener;
    caller_socket socket;
    const caller_strand executor;
    boost::beast::flat_buffer buffer;
    /// Requests whose answers are not yet written, in order of arrival. Only the answer to the
    /// first is being written.
    std::deque<caller_exchange_ptr> open;
    /// The request whose head is being read; null while another is still being read, or while the
    /// maximum number of requests is open.
    caller_exchange_ptr next;
    std::size_t discarded_bytes = 0;
    body_bytes discard_buffer;
    bool is_closing = false;
    /// An exception has ended the session; its handlers do nothing more.
    bool is_faulty = false;
    /// The answer being written tells the caller that the connection closes after it: requests
    /// behind it count as not read.
    bool is_last_answer = false;
    /// A request of this connection was passed to the call path.
    bool is_used = false;
    /// Set when the head being read took too long.
    bool is_head_late = false;
    /// The session waits for the caller to send or read; subject to a timeout.
    bool is_waiting_for_caller = true;
    steady_instant active_at = std::chrono::steady_clock::now();
    /// When the first byte of the head being read was noticed; empty before.
    std::optional<steady_instant> head_started_at;
};

using caller_session_ptr = std::shared_ptr<caller_session>;

/// Whether a byte of the request that is waited for has arrived. Precondition: one is waited for.
[[nodiscard]] bool has_begun_head(const caller_session& session);

/// The limits for requests that are read from now on.
[[nodiscard]] listener_limits limits_of(const caller_session& session);

/// Passes the limits of a request whose head is not read to its parser and to the buffer.
void limit_head(caller_session& session, caller_exchange& exchange);

/// Applies changed limits to the requests that are being read or waited for. One whose head has
/// begun may have been sent under the former limits, so it keeps those that are wider.
void apply_limits(const caller_session_ptr& self);

/// Starts to read the head of the connection's next request, unless one is being read or the
/// maximum number of requests is open.
void read_head(const caller_session_ptr& self);

/// Reads the next piece of a request's body for its on_piece.
void read_piece(const caller_session_ptr& self, const caller_exchange_ptr& exchange);

/// Queues a piece of an answer and writes it when its turn comes.
void queue_piece(const caller_exchange_ptr& exchange, waiting_piece piece);

/// Breaks off an answer once the earlier ones are written.
void break_answer(const caller_exchange_ptr& exchange);

/// Drops all open exchanges and reports the unfinished ones, with the cause, to the call path.
void drop_exchanges(const caller_session_ptr& self, disconnect_cause cause);

/// Closes the connection and reports each exchange in flight, with the cause, to the call path.
void close_session(const caller_session_ptr& self, disconnect_cause cause);

/// Ends the session for an exception: its connection closes at once, the call path is told later.
/// `exchange` is the one that was handled; may be null.
void end_faulty(const caller_session_ptr& self, const caller_exchange_ptr& exchange,
                const std::string& reason);

/// Runs the body of one of the session's handlers; an exception ends the session. Call it on the
/// session's strand. `exchange` is the one that is handled; may be null.
template <class Body>
void run_handler(const caller_session_ptr& self, const caller_exchange_ptr& exchange, Body&& body) {
    if (self->is_faulty) {
        return;
    }
    guard_handler(std::forward<Body>(body),
                  [&](const std::string& reason) { end_faulty(self, exchange, reason); });
}

/// Ends a connection that has been silent for too long. `now` is the current time.
void check_silence(const caller_session_ptr& self, steady_instant now);

} // namespace cyclamenhatch::edge
