#pragma once

#include "model/log_event.h"
#include "model/time.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

/// A small HTTP/1.1 client for one server on an io_context, with kept connections and a time limit
/// for each request.
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
};

/// Proven: no byte of the request was sent.
struct not_sent {
    std::string reason;
};

/// The request was sent, at least in part, and no whole answer came.
struct no_answer {
    std::string reason;
};

using http_outcome = std::variant<http_response, not_sent, no_answer>;

struct http_client_settings {
    std::string ip;
    std::uint16_t port = 0;
    milliseconds connect_timeout{1000};
    /// Kept connections beyond this many are closed.
    std::size_t max_kept = 2;
    std::uint64_t max_answer_bytes = 16'777'216;
    /// Takes a log event when bytes came that are no answer or no whole one; may be empty.
    std::function<void(log_event)> log;
};

/// Opaque; made by make_http_client.
struct http_client;

/// Opens nothing yet. Precondition: the ip is a valid address.
[[nodiscard]] std::shared_ptr<http_client> make_http_client(boost::asio::io_context& io,
                                                            http_client_settings settings);

/// Sends a request. `done` is called once from the io_context, never before this function returns,
/// and not at all after close. Call from the io_context's thread.
void send(http_client& client, http_request request, milliseconds timeout,
          std::function<void(http_outcome)> done);

/// Drops all connections and requests. Call from the io_context's thread.
void close(http_client& client);

} // namespace cyclamenhatch::net
