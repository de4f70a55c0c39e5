#pragma once

#include "model/log_event.h"
#include "model/time.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

/// A small HTTP/1.1 client for one server, running on an io_context, with persistent connections
/// and a timeout per request.
namespace cyclamenhatch::net {

struct http_request {
    std::string method;
    /// Path and query.
    std::string target;
    /// Sent as application/json when it is not empty.
    std::string body;
};

struct http_response {
    unsigned status = 0;
    std::string body;
    /// Value of the header that http_client_settings::kept_header names; empty without it.
    std::string kept_header;
};

/// No byte of the request was sent, so the server cannot have processed it.
struct not_sent {
    std::string reason;
};

/// The request was sent at least in part, but no complete answer was received.
struct no_answer {
    std::string reason;
};

using http_outcome = std::variant<http_response, not_sent, no_answer>;

struct http_client_settings {
    std::string ip;
    std::uint16_t port = 0;
    milliseconds connect_timeout{1000};
    /// Maximum number of idle connections kept open.
    std::size_t max_idle_connections = 2;
    std::uint64_t max_answer_bytes = 16'777'216;
    /// Name of the header of answers that is passed on; empty for none.
    std::string kept_header;
    /// Receives a log event when the server sent bytes that are not a complete, valid answer; may
    /// be empty.
    std::function<void(log_event)> log;
};

/// Opaque; made by make_http_client.
struct http_client;

/// Opens no connection yet. Precondition: the ip is a valid address.
[[nodiscard]] std::shared_ptr<http_client> make_http_client(boost::asio::io_context& io,
                                                            http_client_settings settings);

/// Sends a request. `done` is called once from the io_context, never before this function returns,
/// and not at all after close. Call from the io_context's thread.
void send(http_client& client, http_request request, milliseconds timeout,
          std::function<void(http_outcome)> done);

/// Drops all connections and requests. Call from the io_context's thread.
void close(http_client& client);

} // namespace cyclamenhatch::net
