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

/// Connections to the upstream. Internals of upstream_client; include only from its source files.
namespace cyclamenhatch::edge {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using upstream_strand = asio::strand<asio::io_context::executor_type>;
using upstream_socket = asio::basic_stream_socket<tcp, upstream_strand>;

/// Connections idle for longer are not reused, since the upstream may be closing them.
inline constexpr std::chrono::milliseconds default_keep_alive{4000};

/// Bytes of an answer that may be read and not yet parsed: a head at its bound of 64 KB and one
/// read of 64 KB. Longer framing, such as a chunk's size line or trailers, is refused.
inline constexpr std::size_t max_unparsed_bytes = 131'072;

/// Number of requests of a connection whose ids are remembered.
inline constexpr std::size_t max_remembered_ids = 256;

struct upstream_connection {
    explicit upstream_connection(asio::io_context& io) : socket(asio::make_strand(io)) {}

    upstream_socket socket;
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    std::uint64_t generation = 0;
    std::chrono::steady_clock::time_point idle_since;
    /// How long the connection may be idle and still be reused.
    std::chrono::milliseconds keep_alive = default_keep_alive;
    /// Hashes of the ids of the last requests sent on it, at most max_remembered_ids, as a ring.
    std::vector<std::size_t> sent_ids;
    std::size_t next_id = 0;
};

struct upstream_client {
    explicit upstream_client(asio::io_context& context) : io(context) {}

    asio::io_context& io;
    mutable std::mutex lock;
    // Guarded by lock.
    std::vector<tcp::endpoint> targets;
    std::uint64_t generation = 0;
    std::size_t max_idle_connections = 0;
    std::vector<std::unique_ptr<upstream_connection>> idle;
};

/// An idle connection that is still usable, or a new one that is not connected yet. `targets` are
/// the addresses to connect to.
[[nodiscard]] std::unique_ptr<upstream_connection>
take_connection(upstream_client& client, std::chrono::milliseconds max_idle,
                std::vector<tcp::endpoint>& targets, bool& is_reused);

/// Keeps a connection for the next exchange, or closes it when the pool is full or the upstream
/// moved.
void release_connection(upstream_client& client, std::unique_ptr<upstream_connection> connection);

/// Records that a request with this id is sent on the connection.
void remember_id(upstream_connection& connection, const std::string& id);

/// Whether one of the last max_remembered_ids requests on the connection had this id, so that a
/// late answer may bear it. Another id is taken for it once in 2^56 requests or so.
[[nodiscard]] bool has_carried(const upstream_connection& connection, const std::string& id);

/// The idle timeout stated by a Keep-Alive header, less a margin of 500 ms for requests in flight
/// when it expires.
[[nodiscard]] std::chrono::milliseconds parse_keep_alive(const std::string& header);

} // namespace cyclamenhatch::edge
