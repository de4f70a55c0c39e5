#pragma once

#include "messages/peer_message.h"
#include "model/log_event.h"
#include "settings_generated.h"
#include "wire/link_counters.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

/// Links to other nodes: TCP connections that carry length-prefixed envelopes in both directions.
/// They are dialled on demand, closed when silent or idle, and redialled with backoff.
namespace cyclamenhatch::wire {

/// Callbacks; called from the pool's thread, on_log also from stop. They must not block.
struct link_events {
    std::function<void(incoming)> on_message;
    /// An established link to this node was lost; what was sent may or may not have arrived.
    std::function<void(const node_id&)> on_link_lost;
    /// The message was not sent; no byte of it was handed to the network.
    std::function<void(outgoing)> on_undelivered;
    std::function<void(log_event)> on_log;
};

/// State of one link, for the dump.
struct link_status {
    node_id peer;
    peer_address address;
    bool is_established = false;
    bool is_dialled = false;
    std::uint64_t age_ms = 0;
    std::uint64_t last_received_ms = 0;
    std::uint64_t queued_bytes = 0;
};

/// Opaque; created by open_link_pool.
struct link_pool;

/// Listens on listen.ip:link_port, or on a free port when link_port is 0. Nothing is sent or
/// delivered before start. With a shared io_context all work is done there and its owner runs it;
/// otherwise the pool has a thread of its own. Throws std::runtime_error when it cannot listen.
[[nodiscard]] std::shared_ptr<link_pool>
open_link_pool(const msg::settings_msg& settings, link_events events,
               boost::asio::io_context* shared_context = nullptr);

/// Port that the pool listens on. Thread safe.
[[nodiscard]] std::uint16_t link_port(const link_pool& pool);

/// Starts the pool's thread, if it has one. Call once.
void start(link_pool& pool);

/// Queues a message for its node and dials it if necessary. Thread safe; never blocks.
void send(link_pool& pool, outgoing message);

/// Thread safe.
[[nodiscard]] link_counters counters(const link_pool& pool);

/// Returns at most `limit` links, or none when the pool's thread does not answer within a second.
/// Thread safe; with a shared io_context call it from the thread that runs it.
[[nodiscard]] std::vector<link_status> list_links(link_pool& pool, std::size_t limit);

/// Writes queued messages for at most 300 ms, closes all links and joins the thread. Call after
/// start. With a shared io_context links are closed at once; call it from the thread that runs it.
void stop(link_pool& pool);

} // namespace cyclamenhatch::wire
