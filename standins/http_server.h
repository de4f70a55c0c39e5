#pragma once

#include "http_types.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// A small asynchronous HTTP server. Everything runs on the one thread that runs the io_context.
namespace cyclamenhatch::standin {

/// One connection with the request that it carries now. Opaque.
struct exchange;

/// Called for each request; answers now or later through the exchange.
using request_handler = std::function<void(const std::shared_ptr<exchange>&)>;

struct http_server;

/// Listens at once. Throws when the port is taken.
[[nodiscard]] std::shared_ptr<http_server> start_http_server(boost::asio::io_context& context,
                                                             const std::string& ip,
                                                             std::uint16_t port,
                                                             request_handler handler);

/// Stops listening and closes all connections.
void stop(http_server& server);

[[nodiscard]] const http_request& request_of(const exchange& from);
/// Unique within the process.
[[nodiscard]] std::uint64_t id_of(const exchange& from);

/// Answers the request; the connection goes on to the next.
void answer(const std::shared_ptr<exchange>& to, http_reply reply);

/// Closes the connection without an answer.
void abandon(const std::shared_ptr<exchange>& to);

/// Starts a chunked answer that goes on until either end closes the connection.
void start_stream(const std::shared_ptr<exchange>& to);
void stream_line(const std::shared_ptr<exchange>& to, const std::string& line);

/// `closed` is called once when the connection ends while the present request is under way.
void on_closed(exchange& of, std::function<void()> closed);

} // namespace cyclamenhatch::standin
