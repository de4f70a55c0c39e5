#pragma once

#include "http_types.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// A small asynchronous HTTP server. Everything runs on the one thread that runs the io_context.
namespace cyclamenhatch::standin {

/// A connection and its current request. Opaque.
struct exchange;

/// Called for each request; answers at once or later through the exchange.
using request_handler = std::function<void(const std::shared_ptr<exchange>&)>;

struct http_server;

/// Starts listening. Throws boost::system::system_error when the port is in use.
[[nodiscard]] std::shared_ptr<http_server> start_http_server(boost::asio::io_context& context,
                                                             const std::string& ip,
                                                             std::uint16_t port,
                                                             request_handler handler);

/// Stops listening and closes all connections.
void stop(http_server& server);

[[nodiscard]] const http_request& request_of(const exchange& connection);
/// Returns the number of the connection, which is unique within the process.
[[nodiscard]] std::uint64_t id_of(const exchange& connection);

/// Answers the request; the connection then reads the next one.
void answer(const std::shared_ptr<exchange>& connection, http_reply reply);

/// Closes the connection without an answer.
void abandon(const std::shared_ptr<exchange>& connection);

/// Starts a chunked answer that lasts until either end closes the connection; does nothing when it
/// has started already.
void start_stream(const std::shared_ptr<exchange>& connection);
/// Sends one line of a chunked answer.
void stream_line(const std::shared_ptr<exchange>& connection, const std::string& line);

/// Sets the function that is called once if the connection closes before the current request is
/// answered.
void set_close_handler(exchange& connection, std::function<void()> handler);

} // namespace cyclamenhatch::standin
