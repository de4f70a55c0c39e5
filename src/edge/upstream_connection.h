#pragma once

#include "edge/upstream_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// Connections to the upstream: the inside of upstream_client, used by its own files only.
namespace cyclamenhatch::edge {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using upstream_strand = asio::strand<asio::io_context::executor_type>;
using upstream_socket = asio::basic_stream_socket<tcp, upstream_strand>;

/// Connections idle for longer are not used again: the upstream may be closing them just then.
inline constexpr std::chrono::milliseconds default_keep_alive{4000};

/// Bytes of an answer that may be read and not yet parsed: a head at its bound of 64 KB and one
/// read of 64 KB. Framing that is longer, as a chunk's size line or its trailers, is no answer.
inline constexpr std::size_t max_unparsed_bytes = 131'072;

struct upstream_connection {
    explicit upstream_connection(asio::io_context& io) : socket(asio::make_strand(io)) {}

    upstream_socket socket;
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    std::uint64_t generation = 0;
    std::chrono::steady_clock::time_point idle_since;
    /// How long the connection may be idle and still be used again.
    std::chrono::milliseconds keep_alive = default_keep_alive;
};

struct upstream_client {
    explicit upstream_client(asio::io_context& context) : io(context) {}

    asio::io_context& io;
    mutable std::mutex lock;
    // Guarded by lock.
    std::vector<tcp::endpoint> targets;
    std::uint64_t generation = 0;
    std::size_t max_kept = 0;
    std::vector<std::unique_ptr<upstream_connection>> idle;
};

/// A kept connection that is still good, or a new one that is not connected yet. `targets` are the
/// addresses to connect to.
[[nodiscard]] std::unique_ptr<upstream_connection>
take_connection(upstream_client& client, std::chrono::milliseconds max_idle,
                std::vector<tcp::endpoint>& targets, bool& is_reused);

/// Keeps a connection for the next exchange, or closes it.
void give_back(upstream_client& client, std::unique_ptr<upstream_connection> link);

/// The time for which a Keep-Alive header says that an idle connection stays open, less a margin
/// for what is under way when it ends.
[[nodiscard]] std::chrono::milliseconds keep_alive_of(const std::string& header);

} // namespace cyclamenhatch::edge
