#pragma once

#include "http_types.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

/// A small asynchronous HTTP client with kept connections, on the thread of the io_context.
namespace cyclamenhatch::standin {

/// http://IP:PORT, with an IP number.
struct base_url {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const base_url&, const base_url&) = default;
};

/// Nothing when the text is not http://IP:PORT.
[[nodiscard]] std::optional<base_url> parse_base_url(std::string text);

/// What came of a request. Without a reply, `error` says why.
struct http_outcome {
    std::optional<http_reply> reply;
    /// Whether the connection was refused, so that nothing was sent.
    bool is_refused = false;
    std::string error;
};

struct client_pool;

[[nodiscard]] std::shared_ptr<client_pool> make_client_pool(boost::asio::io_context& context);

/// Never sends a request twice. `done` is called once.
void send_request(const std::shared_ptr<client_pool>& pool, const base_url& to,
                  const http_request& request, std::chrono::milliseconds timeout,
                  std::function<void(http_outcome)> done);

} // namespace cyclamenhatch::standin
