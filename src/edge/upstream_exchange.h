#pragma once

#include "edge/upstream_connection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// An exchange under way: the inside of upstream_client, used by its own files only.
namespace cyclamenhatch::edge {

struct upstream_exchange {
    explicit upstream_exchange(upstream_strand on) : executor(std::move(on)), timer(executor) {}

    const upstream_strand executor;
    asio::steady_timer timer;
    std::shared_ptr<upstream_client> client;
    // All below is used on the strand only.
    std::unique_ptr<upstream_connection> link;
    std::vector<tcp::endpoint> targets;
    std::size_t next_target = 0;
    upstream_events events;
    answer_match match;
    request_head head;
    body_bytes outgoing;
    boost::beast::http::request<boost::beast::http::buffer_body> request;
    std::optional<boost::beast::http::request_serializer<boost::beast::http::buffer_body>>
        serializer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser;
    body_bytes incoming;
    std::function<void(body_piece)> on_piece;
    bool is_reused = false;
    bool is_sent = false;
    /// Whether the answer under way is one to an earlier request.
    bool is_skipping = false;
    /// Whether the head of the answer to this request was read.
    std::atomic<bool> has_own_answer{false};
    /// Whether it was handed over.
    bool is_head_read = false;
    bool is_done = false;
    std::atomic<std::uint64_t> bytes_read{0};
};

void close_quietly(upstream_connection& link);

/// Ends the exchange without a whole answer, unless it has ended before.
void fail(const upstream_exchange_ptr& self, bool is_not_run);

/// Reads the answer whose request is being sent, up to its first piece. Answers to earlier requests
/// and informational ones are dropped.
void read_answer(const upstream_exchange_ptr& self);

/// Reads the next piece of the answer's body.
void read_piece(const upstream_exchange_ptr& self);

} // namespace cyclamenhatch::edge
