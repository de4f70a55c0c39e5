#pragma once

#include "model/log_event.h"
#include "model/time.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// A small HTTP/1.1 server for short requests and answers, such as readiness, announcements and
/// metrics, running on an io_context.
namespace cyclamenhatch::net {

struct service_request {
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
};

struct service_answer {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// Answers one request; called from the io_context's thread and must not block. An exception closes
/// the connection without an answer, unless it has left a shared_state_scope.
using service_handler = std::function<service_answer(const service_request&)>;

/// Sends the answer to one request; call it once, from the io_context's thread. It does nothing
/// once the connection or the service has ended.
using service_reply = std::function<void(service_answer)>;

/// Like service_handler, for answers that come later.
using deferred_handler = std::function<void(const service_request&, service_reply)>;
using service_log = std::function<void(const log_event&)>;

/// Opaque; made by start_http_service.
struct http_service;

/// Starts listening and serving. `log` may be empty. Throws std::runtime_error when the ip is not
/// valid or the port cannot be bound.
[[nodiscard]] std::shared_ptr<http_service>
start_http_service(boost::asio::io_context& io, const std::string& ip, std::uint16_t port,
                   service_handler handler, service_log log = {});
[[nodiscard]] std::shared_ptr<http_service>
start_http_service(boost::asio::io_context& io, const std::string& ip, std::uint16_t port,
                   deferred_handler handler, service_log log = {});

/// The port that the service listens on; needed when it was started on port 0.
[[nodiscard]] std::uint16_t service_port(const http_service& service);

/// Closes the listener and all connections. Call from the io_context's thread.
void stop(http_service& service);

} // namespace cyclamenhatch::net
