#pragma once

#include "model/random.h"
#include "wire/link.h"
#include "wire/link_pool.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenhatch::wire {

/// link_counters as atomics, readable from any thread.
struct atomic_counters {
    std::atomic<std::uint64_t> control_bytes_sent{0};
    std::atomic<std::uint64_t> control_bytes_received{0};
    std::atomic<std::uint64_t> call_bytes_sent{0};
    std::atomic<std::uint64_t> call_bytes_received{0};
    std::atomic<std::uint64_t> messages_sent{0};
    std::atomic<std::uint64_t> messages_received{0};
    std::atomic<std::uint64_t> messages_undelivered{0};
    std::atomic<std::uint64_t> calls_withdrawn{0};
    std::atomic<std::uint64_t> links_opened{0};
    std::atomic<std::uint64_t> links_refused{0};
    std::atomic<std::uint64_t> frames_broken{0};
    std::array<std::atomic<std::uint64_t>, traffic_kind_count> bytes_sent{};
    std::array<std::atomic<std::uint64_t>, close_cause_count> links_closed{};
};

/// Members declared after `counts` are used from the pool's thread only.
struct link_pool : std::enable_shared_from_this<link_pool> {
    link_pool(const msg::settings_msg& initial_settings, link_events callbacks,
              boost::asio::io_context* shared_context)
        : settings(initial_settings), events(std::move(callbacks)),
          own_context(shared_context != nullptr ? nullptr
                                                : std::make_unique<boost::asio::io_context>(1)),
          context(shared_context != nullptr ? *shared_context : *own_context), acceptor(context),
          timer(context), random(std::random_device{}()) {}

    msg::settings_msg settings;
    link_events events;
    /// Null when the io_context is shared with other components of the node.
    std::unique_ptr<boost::asio::io_context> own_context;
    boost::asio::io_context& context;
    atomic_counters counts;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer timer;
    random_source random;
    std::vector<link_ptr> links;
    /// The link that messages to a node are sent over.
    std::map<node_id, link_ptr> by_node;
    /// Links by address, for messages whose node is not known or not linked yet.
    std::map<peer_address, link_ptr> by_address;
    std::map<peer_address, reconnect_backoff> backoffs;
    bool is_stopping = false;
    std::thread thread;
    /// Read buffer of all links, which are read by one thread.
    std::array<char, 65536> input{};
};

using pool_ptr = std::shared_ptr<link_pool>;

/// Adds a link whose socket is not open yet to the pool's list.
[[nodiscard]] link_ptr add_link(link_pool& pool);

/// Starts reading on a connected link and sends the hello if this node dialled it.
void begin_link(const pool_ptr& pool, const link_ptr& peer_link);

/// Queues a frame and starts to write. Until the peer's hello only our hello is written, so that
/// all other messages of a link that is never established can be returned as undelivered.
void enqueue(const pool_ptr& pool, const link_ptr& peer_link, outgoing message, std::string frame);

/// Encodes and queues a hello, ping or pong.
void send_link_message(const pool_ptr& pool, const link_ptr& peer_link, peer_message message);

/// Starts the next write, unless one is in progress.
void start_write(const pool_ptr& pool, const link_ptr& peer_link);

/// Why a link is closed.
struct close_reason {
    close_cause cause;
    /// Error text of the operating system or the decoder; may be empty.
    std::string error;
};

/// Closes a link and returns its unwritten messages as undelivered. Does nothing when it is closed.
void close_link(link_pool& pool, const link_ptr& peer_link, const close_reason& reason);

/// Counts a closed link and logs it if it was established.
void record_close(link_pool& pool, const link& closed_link, const close_reason& reason);

/// Pings, tests or closes each link as its next_step says.
void check_links(const pool_ptr& pool, instant now);

/// Counts a message as undelivered and reports it with on_undelivered.
void return_undelivered(link_pool& pool, outgoing message);

/// Logs an event about a link.
void log_link(link_pool& pool, log_level level, const char* name, const link& peer_link,
              const std::string& detail);

} // namespace cyclamenhatch::wire
