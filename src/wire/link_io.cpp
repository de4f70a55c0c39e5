#include "clock/process_clock.h"
#include "messages/envelope.h"
#include "model/handler_guard.h"
#include "wire/link_choice.h"
#include "wire/link_pool_state.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <optional>

namespace cyclamenhatch::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t max_queued_bytes = 8ULL * 1024 * 1024;
constexpr std::size_t max_frames_per_write = 64;
/// No further frame is added to a write of this size, since a ping must wait for the write in
/// progress: 52 ms at 10 Mbit/s.
constexpr std::size_t write_batch_bytes = 64ULL * 1024;
constexpr std::uint32_t protocol_version = 1;

/// Compares in a time that does not depend on the position of the first difference.
bool is_equal_secret(const std::string& left, const std::string& right) {
    std::size_t difference = left.size() ^ right.size();
    for (std::size_t i = 0; i < left.size(); ++i) {
        const char other = i < right.size() ? right[i] : '\0';
        difference |= static_cast<std::size_t>(static_cast<unsigned char>(left[i] ^ other));
    }
    return difference == 0;
}

/// Runs the body of one of the link's handlers; an exception closes the link, so that both sides
/// ask again for what it may have cost.
template <class Body>
void run_handler(const pool_ptr& pool, const link_ptr& peer_link, Body&& body) {
    guard_handler(std::forward<Body>(body), [&](const std::string& reason) {
        pool->events.on_log(make_handler_failed("link", peer_link->peer.value, reason));
        close_link(*pool, peer_link, {close_cause::handler_failed, reason});
    });
}

void on_written(const pool_ptr& pool, const link_ptr& peer_link, const error_code& error) {
    if (peer_link->is_closed) {
        return;
    }
    if (error) {
        close_link(*pool, peer_link, {close_cause::write_failed, error.message()});
        return;
    }
    for (const auto& frame : peer_link->writing) {
        peer_link->queued_bytes -= frame.size();
    }
    peer_link->writing.clear();
    start_write(pool, peer_link);
}

/// Completion condition of a write, called before and after each part of it. Returns how many bytes
/// to write next.
std::size_t on_write_progress(link& peer_link, const error_code& error, std::size_t bytes,
                              std::size_t total) {
    if (error) {
        return 0;
    }
    if (peer_link.is_full) {
        peer_link.times.last_progress = current_time();
    }
    peer_link.is_full = bytes > 0 && bytes < total;
    return total - bytes;
}

/// Moves the frames of the next write to `writing`.
void prepare_write(link& peer_link) {
    // Until the peer's hello only our hello is written, so that all other messages can be returned
    // as undelivered.
    const bool only_hello = !peer_link.times.is_established;
    while (!peer_link.urgent.empty()) {
        peer_link.writing.push_back(std::move(peer_link.urgent.front().bytes));
        peer_link.urgent.pop_front();
        if (only_hello) {
            return;
        }
    }
    std::size_t bytes = 0;
    while (!only_hello && !peer_link.queue.empty() && bytes < write_batch_bytes &&
           peer_link.writing.size() < max_frames_per_write) {
        bytes += peer_link.queue.front().bytes.size();
        peer_link.writing.push_back(std::move(peer_link.queue.front().bytes));
        peer_link.queue.pop_front();
    }
}

void count_sent(link_pool& pool, const peer_message& message, std::size_t bytes) {
    auto& counter =
        is_call_message(message) ? pool.counts.call_bytes_sent : pool.counts.control_bytes_sent;
    counter.fetch_add(bytes, std::memory_order_relaxed);
    const auto kind = static_cast<std::size_t>(kind_of(message));
    pool.counts.bytes_sent.at(kind).fetch_add(bytes, std::memory_order_relaxed);
    pool.counts.messages_sent.fetch_add(1, std::memory_order_relaxed);
}

/// The call that a message belongs to; null when there is none.
const msg::call_key* find_call(const peer_message& message) {
    return std::visit(
        [](const auto& body) -> const msg::call_key* {
            if constexpr (requires { body.call; }) {
                return body.call.get();
            } else {
                return nullptr;
            }
        },
        message);
}

/// Removes a call's messages from the queue if the one that opens it is still there. Returns
/// whether it was.
bool withdraw_call(link_pool& pool, link& peer_link, const msg::call_key& call) {
    const auto belongs = [&](const queued_frame& frame) {
        const auto* key = find_call(frame.message.message);
        return key != nullptr && *key == call;
    };
    const auto opens = [&](const queued_frame& frame) {
        const auto* open = std::get_if<msg::call_open_msg>(&frame.message.message);
        return open != nullptr && !open->reattach && belongs(frame);
    };
    auto& queue = peer_link.queue;
    if (std::none_of(queue.begin(), queue.end(), opens)) {
        return false;
    }
    for (const auto& frame : queue) {
        peer_link.queued_bytes -= belongs(frame) ? frame.bytes.size() : 0;
    }
    std::erase_if(queue, belongs);
    pool.counts.calls_withdrawn.fetch_add(1, std::memory_order_relaxed);
    return true;
}

void send_hello(const pool_ptr& pool, const link_ptr& peer_link) {
    msg::hello_msg hello;
    hello.node = pool->settings.identity->node;
    hello.data_centre = pool->settings.identity->data_centre;
    hello.cluster_key = pool->settings.cluster->key;
    hello.protocol = protocol_version;
    hello.link_port = pool->settings.listen->link_port;
    send_link_message(pool, peer_link, hello);
}

/// Checks the peer's hello. Returns false when the link must be closed.
bool accept_hello(const pool_ptr& pool, const link_ptr& peer_link, const msg::hello_msg& hello) {
    const bool is_key_valid = is_equal_secret(hello.cluster_key, pool->settings.cluster->key);
    if (!is_key_valid || hello.protocol != protocol_version || hello.node.empty()) {
        pool->counts.links_refused.fetch_add(1, std::memory_order_relaxed);
        log_link(*pool, log_level::warning, "link_refused", *peer_link,
                 is_key_valid ? "other protocol version or no node name" : "wrong cluster key");
        return false;
    }
    peer_link->peer = node_id{hello.node};
    if (!peer_link->is_dialled) {
        peer_link->address.port = hello.link_port;
        send_hello(pool, peer_link);
    }
    peer_link->times.is_established = true;
    if (peer_link->is_dialled) {
        on_dial_succeeded(pool->backoffs[peer_link->address]);
    }
    if (!peer_link->queue.empty()) {
        // The queue is written only now, so answers are expected from now on.
        peer_link->times.last_sent = current_time();
    }
    choose_link(pool, peer_link);
    start_write(pool, peer_link);
    return true;
}

/// Handles one message. Returns false when the link must be closed.
bool handle_message(const pool_ptr& pool, const link_ptr& peer_link, incoming message) {
    if (const auto* hello = std::get_if<msg::hello_msg>(&message.message)) {
        return peer_link->times.is_established || accept_hello(pool, peer_link, *hello);
    }
    if (!peer_link->times.is_established) {
        pool->counts.links_refused.fetch_add(1, std::memory_order_relaxed);
        log_link(*pool, log_level::warning, "link_refused", *peer_link,
                 "first message is not a hello");
        return false;
    }
    if (const auto* ping = std::get_if<msg::ping_msg>(&message.message)) {
        msg::pong_msg pong;
        pong.sequence = ping->sequence;
        send_link_message(pool, peer_link, pong);
        // A pong is not answered.
        peer_link->times.last_sent = instant{};
        return true;
    }
    if (std::holds_alternative<msg::pong_msg>(message.message)) {
        return true;
    }
    peer_link->times.last_used = current_time();
    if (is_call_message(message.message)) {
        peer_link->times.last_call = peer_link->times.last_used;
    }
    follow_peer(*pool, peer_link);
    // The peer of the link is the sender, whatever the envelope says.
    message.from = peer_link->peer;
    pool->events.on_message(std::move(message));
    return true;
}

/// Handles all complete frames that have arrived. Returns why the link must be closed, or nullopt.
std::optional<close_reason> handle_frames(const pool_ptr& pool, const link_ptr& peer_link) {
    while (const auto frame = next_frame(peer_link->reader)) {
        auto decoded = decode_envelope(*frame);
        if (const auto* errors = std::get_if<findings>(&decoded)) {
            pool->counts.frames_broken.fetch_add(1, std::memory_order_relaxed);
            log_link(*pool, log_level::warning, "frame_refused", *peer_link,
                     errors->front().problem);
            return close_reason{close_cause::broken_frame, errors->front().problem};
        }
        auto& message = std::get<incoming>(decoded);
        message.delay = note_arrival(peer_link->transit, message.sent, time_since_boot());
        auto& counter = is_call_message(message.message) ? pool->counts.call_bytes_received
                                                         : pool->counts.control_bytes_received;
        counter.fetch_add(frame->size() + frame_header_bytes, std::memory_order_relaxed);
        pool->counts.messages_received.fetch_add(1, std::memory_order_relaxed);
        if (!handle_message(pool, peer_link, std::move(message))) {
            return close_reason{close_cause::refused, ""};
        }
    }
    if (!peer_link->reader.is_broken) {
        return std::nullopt;
    }
    pool->counts.frames_broken.fetch_add(1, std::memory_order_relaxed);
    log_link(*pool, log_level::warning, "frame_refused", *peer_link, "length out of range");
    return close_reason{close_cause::broken_frame, "length out of range"};
}

/// Reads what is available without blocking. Returns why the link must be closed, or nullopt.
std::optional<close_reason> read_available(const pool_ptr& pool, const link_ptr& peer_link) {
    while (true) {
        error_code error;
        const auto bytes = peer_link->socket.read_some(asio::buffer(pool->input), error);
        if (error == asio::error::would_block) {
            return std::nullopt;
        }
        if (error) {
            return close_reason{close_cause::peer_closed, error.message()};
        }
        peer_link->times.last_received = current_time();
        append(peer_link->reader, {pool->input.data(), bytes});
        if (auto reason = handle_frames(pool, peer_link)) {
            return reason;
        }
        if (bytes < pool->input.size()) {
            return std::nullopt;
        }
    }
}

void start_read(const pool_ptr& pool, const link_ptr& peer_link);

void on_readable(const pool_ptr& pool, const link_ptr& peer_link, const error_code& error) {
    if (peer_link->is_closed) {
        return;
    }
    const auto reason = error ? close_reason{close_cause::peer_closed, error.message()}
                              : read_available(pool, peer_link);
    if (reason) {
        close_link(*pool, peer_link, *reason);
        return;
    }
    if (!peer_link->is_closed) {
        start_read(pool, peer_link);
    }
}

void start_read(const pool_ptr& pool, const link_ptr& peer_link) {
    peer_link->socket.async_wait(
        tcp::socket::wait_read, [pool, peer_link](const error_code& error) {
            run_handler(pool, peer_link, [&] { on_readable(pool, peer_link, error); });
        });
}

} // namespace

void start_write(const pool_ptr& pool, const link_ptr& peer_link) {
    if (!peer_link->writing.empty() || peer_link->is_closed || !peer_link->socket.is_open()) {
        return;
    }
    prepare_write(*peer_link);
    if (peer_link->writing.empty()) {
        return;
    }
    std::size_t total = 0;
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(peer_link->writing.size());
    for (const auto& frame : peer_link->writing) {
        buffers.emplace_back(frame.data(), frame.size());
        total += frame.size();
    }
    peer_link->is_full = false;
    asio::async_write(
        peer_link->socket, buffers,
        [peer_link, total](const error_code& error, std::size_t bytes) {
            return on_write_progress(*peer_link, error, bytes, total);
        },
        [pool, peer_link](const error_code& error, std::size_t /*bytes*/) {
            run_handler(pool, peer_link, [&] { on_written(pool, peer_link, error); });
        });
}

void enqueue(const pool_ptr& pool, const link_ptr& peer_link, outgoing message, std::string frame) {
    const auto* cancel = std::get_if<msg::call_cancel_msg>(&message.message);
    const bool is_cancel = cancel != nullptr;
    if (is_cancel && cancel->call && withdraw_call(*pool, *peer_link, *cancel->call)) {
        return;
    }
    if (peer_link->queued_bytes + frame.size() > max_queued_bytes) {
        return_undelivered(*pool, std::move(message));
        return;
    }
    const auto now = current_time();
    const bool is_link_message = kind_of(message.message) == traffic_kind::link;
    peer_link->times.last_sent = now;
    if (!is_link_message) {
        peer_link->times.last_used = now;
    }
    if (is_call_message(message.message)) {
        peer_link->times.last_call = now;
    }
    count_sent(*pool, message.message, frame.size());
    peer_link->queued_bytes += frame.size();
    // The hello must come first.
    const bool may_overtake = is_link_message || (is_cancel && peer_link->times.is_established);
    auto& queue = may_overtake ? peer_link->urgent : peer_link->queue;
    queue.push_back({std::move(frame), std::move(message)});
    start_write(pool, peer_link);
}

void send_link_message(const pool_ptr& pool, const link_ptr& peer_link, peer_message message) {
    auto frame = make_frame(
        encode_envelope(node_id{pool->settings.identity->node}, message, time_since_boot()));
    enqueue(pool, peer_link, {peer_link->peer, peer_link->address, std::move(message)},
            std::move(frame));
}

link_ptr add_link(link_pool& pool) {
    auto new_link = std::make_shared<link>(pool.context);
    const auto now = current_time();
    new_link->times.opened = now;
    new_link->times.last_used = now;
    new_link->reader.max_frame_bytes = pool.settings.link->max_frame_bytes;
    pool.links.push_back(new_link);
    return new_link;
}

void begin_link(const pool_ptr& pool, const link_ptr& peer_link) {
    error_code ignored;
    peer_link->socket.set_option(tcp::no_delay(true), ignored);
    peer_link->socket.non_blocking(true, ignored);
    pool->counts.links_opened.fetch_add(1, std::memory_order_relaxed);
    if (peer_link->is_dialled) {
        send_hello(pool, peer_link);
    }
    start_read(pool, peer_link);
}

} // namespace cyclamenhatch::wire
