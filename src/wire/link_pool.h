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

/// Links to other nodes: length-framed TCP carrying envelopes, dialled on demand, shared by both
/// directions, closed when silent or idle and dialled again at a limited pace.
namespace cyclamenhatch::wire {

/// Called from the pool's thread, and on_log by stop as well; must not block.
struct link_events {
    std::function<void(incoming)> on_message;
    /// An established link to this node ended; what was sent may or may not have arrived.
    std::function<void(const node_id&)> on_link_lost;
    /// Proven: no byte of the message was handed to the network.
    std::function<void(outgoing)> on_undelivered;
    std::function<void(log_event)> on_log;
};

/// One link, for the dump.
struct link_status {
    node_id peer;
    peer_address address;
    bool is_established = false;
    bool is_dialled = false;
    std::uint64_t age_ms = 0;
    std::uint64_t last_received_ms = 0;
    std::uint64_t queued_bytes = 0;
};

/// Opaque; made by open_link_pool.
struct link_pool;

/// Listens on listen.ip:link_port, or on a free port when that is 0. Nothing is sent or delivered
/// before start. With an io_context all work is done there, and whoever owns it runs it; else on a
/// thread of the pool's own. Throws std::runtime_error when the port cannot be had.
[[nodiscard]] std::shared_ptr<link_pool> open_link_pool(const msg::settings_msg& settings,
                                                        link_events events,
                                                        boost::asio::io_context* shared = nullptr);

/// The port that the pool listens on. Thread safe.
[[nodiscard]] std::uint16_t link_port(const link_pool& pool);

/// Starts the pool's thread, when it has one. Call once.
void start(link_pool& pool);

/// Queues a message for its node, dialling if need be. Thread safe; never blocks.
void send(link_pool& pool, outgoing message);

/// Thread safe.
[[nodiscard]] link_counters counters(const link_pool& pool);

/// At most `limit` links. Thread safe; waits for the pool's thread. On a shared io_context call it
/// from there.
[[nodiscard]] std::vector<link_status> list_links(link_pool& pool, std::size_t limit);

/// Flushes what is queued for a short time, closes all links and joins the thread. Call after
/// start. On a shared io_context links are closed at once; call it from there.
void stop(link_pool& pool);

} // namespace cyclamenhatch::wire
