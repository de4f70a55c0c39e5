#pragma once

#include "edge/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// The callers' HTTP listener. Each connection is served on a strand of its own; all functions are
/// thread safe and none blocks.
namespace cyclamenhatch::edge {

/// One request of a caller and its answer. Opaque.
struct caller_exchange;
using caller_exchange_ptr = std::shared_ptr<caller_exchange>;

/// Opaque; made by start_listener.
struct caller_listener;

struct listener_limits {
    std::uint32_t max_header_bytes = 32768;
    std::uint64_t max_body_bytes = 1'073'741'824;
    /// Time from the first to the last byte of a request's head.
    std::chrono::milliseconds header_timeout{30'000};
    /// How long a connection may stay open without a request.
    std::chrono::milliseconds idle_timeout{75'000};

    friend bool operator==(const listener_limits&, const listener_limits&) = default;
};

/// Why the listener refused a request.
enum class request_fault { broken_request, header_too_large, body_too_large };

/// Why a caller's connection ended before its answer was complete.
enum class disconnect_cause {
    caller_left,
    caller_stalled,
    connection_closing,
    bad_request,
    node_stops,
    handler_failed
};

[[nodiscard]] const char* name_of(disconnect_cause cause);

struct listener_events {
    /// A request with the first piece of its body. The head holds only headers to forward.
    std::function<void(caller_exchange_ptr, request_head, body_piece)> on_request;
    /// The caller's connection ended before its answer was complete.
    std::function<void(const caller_exchange_ptr&, disconnect_cause)> on_disconnect;
    /// The listener refused a request itself.
    std::function<void(request_fault)> on_fault;
    /// Whether a pipelined request may run at the same time as the earlier ones of its connection.
    /// When empty, none may.
    std::function<bool(const request_head&)> may_overlap;
    /// May be empty. An exception ended the connection of this request, which may have no id yet.
    std::function<void(const std::string& request_id, const std::string& reason)> on_exception;
    /// Header with a request's id; may be empty.
    std::string request_id_header;
};

/// Throws std::runtime_error when the port cannot be bound.
[[nodiscard]] std::shared_ptr<caller_listener>
start_listener(boost::asio::io_context& io, const std::string& ip, std::uint16_t port,
               const listener_limits& limits, listener_events events);

/// The port that the listener is bound to, for a listener started on port 0.
[[nodiscard]] std::uint16_t listening_port(const caller_listener& listener);

/// Sets the limits for requests that begin from now on, also on connections that wait for one. A
/// request that has begun is held to the wider ones of the limits since then.
void set_limits(caller_listener& listener, const listener_limits& limits);

/// Continues to serve, but each answer tells its caller to open another connection.
void begin_drain(caller_listener& listener);

/// Accepts no more connections, and closes each open one after its current answers.
void stop_accepting(caller_listener& listener);

/// Closes connections whose caller has neither sent nor read anything for too long. Call it about
/// every half second.
void close_silent(caller_listener& listener);

/// Closes all connections.
void close_listener(caller_listener& listener);

[[nodiscard]] std::size_t count_connections(const caller_listener& listener);

/// Reads the next piece of the request's body. Precondition: the last piece was not read yet and no
/// read is pending. `on_done` is not called once the caller has left.
void read_body(const caller_exchange_ptr& exchange, std::function<void(body_piece)> on_done);

/// Sends the answer's head with the first piece of its body; `on_done` is called when the piece was
/// written to the connection. Precondition: called once.
void start_answer(const caller_exchange_ptr& exchange, answer_head head, body_piece first,
                  std::function<void()> on_done);

/// Sends a further piece of the answer's body; `on_done` is called when it was written to the
/// connection. Precondition: the previous piece was written.
void write_body(const caller_exchange_ptr& exchange, body_piece piece,
                std::function<void()> on_done);

/// Calls `next` if the caller still waits. Otherwise the caller's leaving is reported as if the end
/// of its connection had been read, and `next` isn't called.
void run_if_caller_waits(const caller_exchange_ptr& exchange, std::function<void()> next);

/// Closes the caller's connection, so that the caller sees that the answer is incomplete.
void break_off(const caller_exchange_ptr& exchange);

} // namespace cyclamenhatch::edge
