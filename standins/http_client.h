#pragma once

#include "http_types.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

/// A small asynchronous HTTP client with persistent connections. Everything runs on the one thread
/// that runs the io_context.
namespace cyclamenhatch::standin {

/// The parts of http://IP:PORT.
struct base_url {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const base_url&, const base_url&) = default;
};

/// Parses http://IP:PORT with an optional trailing slash; std::nullopt for other texts.
[[nodiscard]] std::optional<base_url> parse_base_url(std::string text);

/// Outcome of a request. Without a reply, `error` holds the reason.
struct http_outcome {
    std::optional<http_reply> reply;
    /// Whether the connection was refused, so that nothing was sent.
    bool is_refused = false;
    std::string error;
};

struct client_pool;

[[nodiscard]] std::shared_ptr<client_pool> make_client_pool(boost::asio::io_context& context);

/// Sends a request, without retries. Calls `done` once, with the reply or the error.
void send_request(const std::shared_ptr<client_pool>& pool, const base_url& target,
                  const http_request& request, std::chrono::milliseconds timeout,
                  std::function<void(http_outcome)> done);

} // namespace cyclamenhatch::standin
