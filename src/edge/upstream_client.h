#pragma once

#include "edge/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// HTTP client towards the upstream beside this node, with kept connections. All functions are
/// thread safe and none blocks; callbacks come one at a time per exchange.
namespace cyclamenhatch::edge {

/// One request to the upstream and its answer. Opaque.
struct upstream_exchange;
using upstream_exchange_ptr = std::shared_ptr<upstream_exchange>;

/// Opaque; made by make_upstream_client.
struct upstream_client;

/// How an answer is known to belong to its request. Without a name every answer does.
struct answer_match {
    std::string header;
    std::string value;
};

/// Bytes from the upstream that are no answer, or none that is whole.
struct upstream_fault {
    std::string reason;
    std::uint64_t bytes_read = 0;
};

struct upstream_events {
    /// The answer's head with the first piece of its body.
    std::function<void(answer_head, body_piece)> on_answer;
    /// No answer, or its rest is lost. `is_not_run` only when no byte of the request was sent.
    std::function<void(bool is_not_run)> on_failure;
    /// The connection took the first piece and more are due.
    std::function<void()> on_taken;
    /// May be empty. Comes before on_failure when bytes of an answer were read, or before the last
    /// piece when others follow an answer's end; the connection is closed.
    std::function<void(const upstream_fault&)> on_fault;
};

[[nodiscard]] std::shared_ptr<upstream_client> make_upstream_client(boost::asio::io_context& io);

/// Where the upstream listens, addresses in the order in which they are tried, and how many
/// connections may be kept open. Connections to a former target are not used again.
void set_target(upstream_client& client, const std::vector<std::string>& ips, std::uint16_t port,
                std::size_t max_kept);

[[nodiscard]] std::size_t count_kept(const upstream_client& client);

/// Closes kept connections that the upstream has closed, or on which it sent bytes: those belong to
/// no request.
void close_disturbed(upstream_client& client);

/// Closes kept connections.
void close_client(upstream_client& client);

/// Takes a connection for one request; nothing is sent yet. A connection that was idle for longer
/// than `max_idle` is not used again: the upstream may be closing it.
[[nodiscard]] upstream_exchange_ptr prepare_exchange(const std::shared_ptr<upstream_client>& client,
                                                     std::chrono::milliseconds max_idle);

/// Sends the request. With a first piece that is not the last, more follow by write_body after
/// on_taken. Answers that do not match belong to an earlier request and are dropped. No callback
/// comes before this function returns. Precondition: called once.
void send_request(const upstream_exchange_ptr& exchange, request_head head, body_piece first,
                  answer_match match, upstream_events events);

/// Sends a further piece; `done` is called when the connection took it. Precondition: the piece
/// before was taken.
void write_body(const upstream_exchange_ptr& exchange, body_piece piece,
                std::function<void()> done);

/// Reads the next piece of the answer's body. Precondition: the answer's head came, its last piece
/// did not, and no read is under way.
void read_body(const upstream_exchange_ptr& exchange, std::function<void(body_piece)> done);

/// Bytes that came before a whole head of the request's own answer; 0 once that was read. Thread
/// safe.
[[nodiscard]] std::uint64_t bytes_before_head(const upstream_exchange_ptr& exchange);

/// Closes the exchange's connection; no callback comes after that, but for one that is under way.
void abort_exchange(const upstream_exchange_ptr& exchange);

} // namespace cyclamenhatch::edge
