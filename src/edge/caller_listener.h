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
    /// From the first byte of a request's head to its last.
    std::chrono::milliseconds header_timeout{30'000};
    /// How long a connection may stay open without a request.
    std::chrono::milliseconds idle_timeout{75'000};
};

/// Why a request was refused at the edge.
enum class edge_fault { broken_request, header_too_large, body_too_large };

/// Why a caller's connection ended before its answer was complete.
enum class caller_end { left, stalled, closing, bad_request, node_stops };

[[nodiscard]] const char* name_of(caller_end cause);

struct listener_events {
    /// A request with the first piece of its body. The head's headers are those to pass on.
    std::function<void(caller_exchange_ptr, request_head, body_piece)> on_request;
    /// The caller's connection ended before its answer was complete.
    std::function<void(const caller_exchange_ptr&, caller_end)> on_gone;
    /// A request was refused with an error of its own.
    std::function<void(edge_fault)> on_fault;
    /// Whether a request that a caller sent before the answer to an earlier one may be worked on at
    /// the same time; never when not set.
    std::function<bool(const request_head&)> may_overlap;
};

/// Throws std::runtime_error when the port cannot be had.
[[nodiscard]] std::shared_ptr<caller_listener>
start_listener(boost::asio::io_context& io, const std::string& ip, std::uint16_t port,
               const listener_limits& limits, listener_events events);

/// The port that the listener has, for a listener started on port 0.
[[nodiscard]] std::uint16_t listening_port(const caller_listener& listener);

/// Sets the limits for requests that are read from now on.
void set_limits(caller_listener& listener, const listener_limits& limits);

/// Goes on serving, but tells callers with each answer to open another connection.
void begin_drain(caller_listener& listener);

/// Accepts no more connections, and closes each open one after the answer under way.
void stop_accepting(caller_listener& listener);

/// Closes connections whose caller neither sends nor takes anything for too long. Call it about
/// every half second.
void close_silent(caller_listener& listener);

/// Closes all connections.
void close_listener(caller_listener& listener);

[[nodiscard]] std::size_t count_connections(const caller_listener& listener);

/// Reads the next piece of the request's body. Precondition: the last piece was not read yet and no
/// read is under way. `done` gets nothing more once the caller has gone.
void read_body(const caller_exchange_ptr& exchange, std::function<void(body_piece)> done);

/// Sends the answer's head with the first piece of its body; `done` is called when the connection
/// took it. Precondition: called once.
void start_answer(const caller_exchange_ptr& exchange, answer_head head, body_piece first,
                  std::function<void()> done);

/// Sends a further piece of the answer's body; `done` is called when the connection took it.
/// Precondition: the piece before was taken.
void write_body(const caller_exchange_ptr& exchange, body_piece piece, std::function<void()> done);

/// Closes the caller's connection, so that it sees that the answer is not whole.
void break_off(const caller_exchange_ptr& exchange);

} // namespace cyclamenhatch::edge
