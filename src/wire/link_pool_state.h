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

/// link_counters while they are being counted.
struct atomic_counters {
    std::atomic<std::uint64_t> control_bytes_sent{0};
    std::atomic<std::uint64_t> control_bytes_received{0};
    std::atomic<std::uint64_t> call_bytes_sent{0};
    std::atomic<std::uint64_t> call_bytes_received{0};
    std::atomic<std::uint64_t> messages_sent{0};
    std::atomic<std::uint64_t> messages_received{0};
    std::atomic<std::uint64_t> messages_undelivered{0};
    std::atomic<std::uint64_t> links_opened{0};
    std::atomic<std::uint64_t> links_refused{0};
    std::atomic<std::uint64_t> frames_broken{0};
    std::array<std::atomic<std::uint64_t>, traffic_kind_count> bytes_sent{};
    std::array<std::atomic<std::uint64_t>, close_cause_count> links_closed{};
};

/// All members below `counts` are used from the pool's thread only.
struct link_pool : std::enable_shared_from_this<link_pool> {
    link_pool(const msg::settings_msg& from, link_events handlers, boost::asio::io_context* shared)
        : settings(from), events(std::move(handlers)),
          own_context(shared != nullptr ? nullptr : std::make_unique<boost::asio::io_context>(1)),
          context(shared != nullptr ? *shared : *own_context), acceptor(context), timer(context),
          random(std::random_device{}()) {}

    msg::settings_msg settings;
    link_events events;
    /// Null when the io_context is shared with other parts of the node.
    std::unique_ptr<boost::asio::io_context> own_context;
    boost::asio::io_context& context;
    atomic_counters counts;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer timer;
    random_source random;
    std::vector<link_ptr> links;
    std::map<node_id, link_ptr> by_node;
    std::map<peer_address, link_ptr> by_address;
    std::map<peer_address, reconnect_pacing> pacing;
    bool is_stopping = false;
    std::thread thread;
    /// Bytes come in here first: the pool's work is done by one thread.
    std::array<char, 65536> input{};
};

using pool_ptr = std::shared_ptr<link_pool>;

/// Adds a closed socket's link to the pool's list.
[[nodiscard]] link_ptr add_link(link_pool& pool);

/// Starts reading on a connected link and, when it was dialled, says hello.
void begin_link(const pool_ptr& pool, const link_ptr& opened);

/// Queues a frame and starts to write. Until the peer has said hello only hello is written, so that
/// all other messages of a link that never stood can be returned as undelivered.
void enqueue(const pool_ptr& pool, const link_ptr& writer, outgoing message, std::string frame);

/// Queues a message of the link layer itself.
void send_link_message(const pool_ptr& pool, const link_ptr& writer, peer_message message);

/// Writes what may be written, unless a write is under way.
void start_write(const pool_ptr& pool, const link_ptr& writer);

/// Why a link ends.
struct closing {
    close_cause cause;
    /// What the system or the decoder said, if anything.
    std::string error;
};

/// Closes a link once: frames of which nothing was written go back to their senders.
void close_link(link_pool& pool, const link_ptr& ended, const closing& why);

/// Counts the end of a link and, when it was established, logs it.
void note_closed(link_pool& pool, const link& closed, const closing& why);

/// Does what each link needs at this time: pings, closes, dials.
void check_links(const pool_ptr& pool, instant now);

/// Hands a message back to its sender.
void return_undelivered(link_pool& pool, outgoing message);

/// Logs an event about a link.
void log_link(link_pool& pool, log_level level, const char* name, const link& about,
              const std::string& detail);

} // namespace cyclamenhatch::wire
