#include "clock/process_clock.h"
#include "messages/envelope.h"
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
/// A write takes no further frame beyond this: pings wait for the write under way. One piece of a
/// body (64 KB), which takes 52 ms at 10 Mbit a second.
constexpr std::size_t enough_bytes_per_write = 64ULL * 1024;
constexpr std::uint32_t protocol_version = 1;

/// Compares in a time that does not depend on where the texts differ.
bool is_equal_secret(const std::string& left, const std::string& right) {
    std::size_t difference = left.size() ^ right.size();
    for (std::size_t i = 0; i < left.size(); ++i) {
        const char other = i < right.size() ? right[i] : '\0';
        difference |= static_cast<std::size_t>(static_cast<unsigned char>(left[i] ^ other));
    }
    return difference == 0;
}

void on_written(const pool_ptr& pool, const link_ptr& writer, const error_code& error) {
    if (writer->is_closed) {
        return;
    }
    if (error) {
        close_link(*pool, writer, {close_cause::write_failed, error.message()});
        return;
    }
    for (const auto& frame : writer->writing) {
        writer->queued_bytes -= frame.size();
    }
    writer->writing.clear();
    start_write(pool, writer);
}

/// Called before and after each part of a write. Returns how many bytes to write next.
std::size_t note_progress(link& writer, const error_code& error, std::size_t bytes,
                          std::size_t total) {
    if (error) {
        return 0;
    }
    if (writer.is_full) {
        writer.times.last_progress = current_time();
    }
    writer.is_full = bytes > 0 && bytes < total;
    return total - bytes;
}

/// Moves the frames that are written next to `writing`.
void take_for_writing(link& writer) {
    // Until the peer has answered our hello nothing else is written, so that all of it can go back.
    const bool only_hello = !writer.times.is_established;
    while (!writer.urgent.empty()) {
        writer.writing.push_back(std::move(writer.urgent.front()));
        writer.urgent.pop_front();
        if (only_hello) {
            return;
        }
    }
    std::size_t bytes = 0;
    while (!only_hello && !writer.queue.empty() && bytes < enough_bytes_per_write &&
           writer.writing.size() < max_frames_per_write) {
        bytes += writer.queue.front().bytes.size();
        writer.writing.push_back(std::move(writer.queue.front().bytes));
        writer.queue.pop_front();
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

void send_hello(const pool_ptr& pool, const link_ptr& writer) {
    msg::hello_msg hello;
    hello.node = pool->settings.identity->node;
    hello.data_centre = pool->settings.identity->data_centre;
    hello.cluster_key = pool->settings.cluster->key;
    hello.protocol = protocol_version;
    hello.link_port = pool->settings.listen->link_port;
    send_link_message(pool, writer, hello);
}

/// Checks the peer's hello. Returns false when the link must be closed.
bool accept_hello(const pool_ptr& pool, const link_ptr& from, const msg::hello_msg& hello) {
    const bool is_known_key = is_equal_secret(hello.cluster_key, pool->settings.cluster->key);
    if (!is_known_key || hello.protocol != protocol_version || hello.node.empty()) {
        pool->counts.links_refused.fetch_add(1, std::memory_order_relaxed);
        log_link(*pool, log_level::warning, "link_refused", *from,
                 is_known_key ? "other protocol version or no node name" : "wrong cluster key");
        return false;
    }
    from->peer = node_id{hello.node};
    if (!from->is_dialled) {
        from->address.port = hello.link_port;
        send_hello(pool, from);
    }
    from->times.is_established = true;
    if (from->is_dialled) {
        on_dial_succeeded(pool->pacing[from->address]);
    }
    if (!from->queue.empty()) {
        // What waited for the hello goes out only now, so its answer comes after the hello.
        from->times.last_sent = current_time();
    }
    choose_link(pool, from);
    start_write(pool, from);
    return true;
}

/// Handles one message. Returns false when the link must be closed.
bool handle_message(const pool_ptr& pool, const link_ptr& from, incoming message) {
    if (const auto* hello = std::get_if<msg::hello_msg>(&message.message)) {
        return from->times.is_established || accept_hello(pool, from, *hello);
    }
    if (!from->times.is_established) {
        pool->counts.links_refused.fetch_add(1, std::memory_order_relaxed);
        log_link(*pool, log_level::warning, "link_refused", *from, "first message is no hello");
        return false;
    }
    if (const auto* ping = std::get_if<msg::ping_msg>(&message.message)) {
        msg::pong_msg pong;
        pong.sequence = ping->sequence;
        send_link_message(pool, from, pong);
        // Answering must not make us expect an answer in turn.
        from->times.last_sent = instant{};
        return true;
    }
    if (std::holds_alternative<msg::pong_msg>(message.message)) {
        return true;
    }
    from->times.last_used = current_time();
    if (is_call_message(message.message)) {
        from->times.last_call = from->times.last_used;
    }
    follow_peer(*pool, from);
    // The sender is who the link was opened with, whatever the envelope says.
    message.from = from->peer;
    pool->events.on_message(std::move(message));
    return true;
}

/// Handles all whole frames that have arrived. Returns why the link must be closed, if it must.
std::optional<closing> handle_frames(const pool_ptr& pool, const link_ptr& from) {
    while (const auto frame = next_frame(from->reader)) {
        auto decoded = decode_envelope(*frame);
        if (const auto* found = std::get_if<findings>(&decoded)) {
            pool->counts.frames_broken.fetch_add(1, std::memory_order_relaxed);
            log_link(*pool, log_level::warning, "frame_refused", *from, found->front().problem);
            return closing{close_cause::broken_frame, found->front().problem};
        }
        auto& message = std::get<incoming>(decoded);
        auto& counter = is_call_message(message.message) ? pool->counts.call_bytes_received
                                                         : pool->counts.control_bytes_received;
        counter.fetch_add(frame->size() + frame_header_bytes, std::memory_order_relaxed);
        pool->counts.messages_received.fetch_add(1, std::memory_order_relaxed);
        if (!handle_message(pool, from, std::move(message))) {
            return closing{close_cause::refused, ""};
        }
    }
    if (!from->reader.is_broken) {
        return std::nullopt;
    }
    pool->counts.frames_broken.fetch_add(1, std::memory_order_relaxed);
    log_link(*pool, log_level::warning, "frame_refused", *from, "length out of range");
    return closing{close_cause::broken_frame, "length out of range"};
}

/// Reads what has come without waiting. Returns why the link must be closed, if it must.
std::optional<closing> read_available(const pool_ptr& pool, const link_ptr& reader) {
    while (true) {
        error_code error;
        const auto bytes = reader->socket.read_some(asio::buffer(pool->input), error);
        if (error == asio::error::would_block) {
            return std::nullopt;
        }
        if (error) {
            return closing{close_cause::peer_closed, error.message()};
        }
        reader->times.last_received = current_time();
        append(reader->reader, {pool->input.data(), bytes});
        if (auto why = handle_frames(pool, reader)) {
            return why;
        }
        if (bytes < pool->input.size()) {
            return std::nullopt;
        }
    }
}

void start_read(const pool_ptr& pool, const link_ptr& reader) {
    reader->socket.async_wait(tcp::socket::wait_read, [pool, reader](const error_code& error) {
        if (reader->is_closed) {
            return;
        }
        const auto why = error ? closing{close_cause::peer_closed, error.message()}
                               : read_available(pool, reader);
        if (why) {
            close_link(*pool, reader, *why);
            return;
        }
        if (!reader->is_closed) {
            start_read(pool, reader);
        }
    });
}

} // namespace

void start_write(const pool_ptr& pool, const link_ptr& writer) {
    if (!writer->writing.empty() || writer->is_closed || !writer->socket.is_open()) {
        return;
    }
    take_for_writing(*writer);
    if (writer->writing.empty()) {
        return;
    }
    std::size_t total = 0;
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(writer->writing.size());
    for (const auto& frame : writer->writing) {
        buffers.emplace_back(frame.data(), frame.size());
        total += frame.size();
    }
    writer->is_full = false;
    asio::async_write(
        writer->socket, buffers,
        [writer, total](const error_code& error, std::size_t bytes) {
            return note_progress(*writer, error, bytes, total);
        },
        [pool, writer](const error_code& error, std::size_t /*bytes*/) {
            on_written(pool, writer, error);
        });
}

void enqueue(const pool_ptr& pool, const link_ptr& writer, outgoing message, std::string frame) {
    if (writer->queued_bytes + frame.size() > max_queued_bytes) {
        return_undelivered(*pool, std::move(message));
        return;
    }
    const auto now = current_time();
    const bool is_own = kind_of(message.message) == traffic_kind::link;
    writer->times.last_sent = now;
    if (!is_own) {
        writer->times.last_used = now;
    }
    if (is_call_message(message.message)) {
        writer->times.last_call = now;
    }
    count_sent(*pool, message.message, frame.size());
    writer->queued_bytes += frame.size();
    if (is_own) {
        writer->urgent.push_back(std::move(frame));
    } else {
        writer->queue.push_back({std::move(frame), std::move(message)});
    }
    start_write(pool, writer);
}

void send_link_message(const pool_ptr& pool, const link_ptr& writer, peer_message message) {
    auto frame = make_frame(encode_envelope(node_id{pool->settings.identity->node}, message));
    enqueue(pool, writer, {writer->peer, writer->address, std::move(message)}, std::move(frame));
}

link_ptr add_link(link_pool& pool) {
    auto added = std::make_shared<link>(pool.context);
    const auto now = current_time();
    added->times.opened = now;
    added->times.last_used = now;
    added->reader.max_frame_bytes = pool.settings.link->max_frame_bytes;
    pool.links.push_back(added);
    return added;
}

void begin_link(const pool_ptr& pool, const link_ptr& opened) {
    error_code ignored;
    opened->socket.set_option(tcp::no_delay(true), ignored);
    opened->socket.non_blocking(true, ignored);
    pool->counts.links_opened.fetch_add(1, std::memory_order_relaxed);
    if (opened->is_dialled) {
        send_hello(pool, opened);
    }
    start_read(pool, opened);
}

} // namespace cyclamenhatch::wire
