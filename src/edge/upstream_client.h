#pragma once

#include "edge/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// HTTP client of the upstream beside this node, with persistent connections. All functions are
/// thread safe and none blocks; callbacks of one exchange run one at a time.
namespace cyclamenhatch::edge {

/// One request to the upstream and its answer. Opaque.
struct upstream_exchange;
using upstream_exchange_ptr = std::shared_ptr<upstream_exchange>;

/// Opaque; made by make_upstream_client.
struct upstream_client;

/// Header that an answer must have to belong to its request. With an empty name every answer
/// matches. With an empty value the request has no id and goes over a new connection, where every
/// answer matches.
struct answer_match {
    std::string header;
    std::string value;
};

/// Bytes from the upstream that are not a valid and whole answer.
struct upstream_fault {
    std::string reason;
    std::uint64_t bytes_read = 0;
};

struct upstream_events {
    /// The answer's head with the first piece of its body.
    std::function<void(answer_head, body_piece)> on_answer;
    /// There is no answer, or its rest is lost. `is_not_run` only when no byte of the request was
    /// sent.
    std::function<void(bool is_not_run)> on_failure;
    /// The first piece was written and more are to follow.
    std::function<void()> on_taken;
    /// May be empty. Called before on_failure when bytes of an answer were read, or before the last
    /// piece when bytes follow the answer's end; the connection is closed.
    std::function<void(const upstream_fault&)> on_fault;
    /// May be empty. An exception ended this exchange; on_failure follows, unless the exchange had
    /// ended already.
    std::function<void(const std::string& reason)> on_exception;
};

[[nodiscard]] std::shared_ptr<upstream_client> make_upstream_client(boost::asio::io_context& io);

/// Where the upstream listens, addresses in the order in which they are tried, and how many
/// connections may be kept open. Connections to a former target are not used again.
void set_target(upstream_client& client, const std::vector<std::string>& ips, std::uint16_t port,
                std::size_t max_idle_connections);

[[nodiscard]] std::size_t count_idle(const upstream_client& client);

/// Closes idle connections that the upstream has closed or sent bytes on: such bytes belong to no
/// request.
void close_unusable(upstream_client& client);

/// Closes idle connections.
void close_client(upstream_client& client);

/// Takes a connection for one request without sending anything. A connection that was idle for
/// longer than `max_idle` is not reused, since the upstream may be closing it.
[[nodiscard]] upstream_exchange_ptr prepare_exchange(const std::shared_ptr<upstream_client>& client,
                                                     std::chrono::milliseconds max_idle);

/// Sends the request. With a first piece that is not the last, more follow by write_body after
/// on_taken. Answers that do not match belong to an earlier request and are dropped. A kept
/// connection that has carried a request with the same id is replaced. No callback
/// comes before this function returns. Precondition: called once.
void send_request(const upstream_exchange_ptr& exchange, request_head head, body_piece first,
                  answer_match match, upstream_events events);

/// Sends a further piece; `on_done` is called when it was written. Precondition: the previous piece
/// was written.
void write_body(const upstream_exchange_ptr& exchange, body_piece piece,
                std::function<void()> on_done);

/// Reads the next piece of the answer's body. Precondition: the head was received, the last piece
/// was not, and no read is pending.
void read_body(const upstream_exchange_ptr& exchange, std::function<void(body_piece)> on_done);

/// Bytes read before the head of the request's own answer is whole; 0 after that. Thread safe.
[[nodiscard]] std::uint64_t bytes_before_head(const upstream_exchange_ptr& exchange);

/// A connection that only shows whether the upstream listens. Opaque.
struct upstream_probe;
using upstream_probe_ptr = std::shared_ptr<upstream_probe>;

/// Opens a connection to the upstream and closes it again; if that was accepted, once more after
/// 20 ms, since the listener of a process that ends may close last. Calls back once, within 200 ms:
/// `is_refused` when all its addresses refuse connections, false when one accepts both times or
/// does not respond. No callback comes before this function returns.
[[nodiscard]] upstream_probe_ptr probe_listener(upstream_client& client,
                                                std::function<void(bool is_refused)> on_done);

/// No callback starts after that, but one may be running.
void cancel_probe(upstream_probe& probe);

/// Closes the exchange's connection; no callback starts after that, but one may be running.
void abort_exchange(const upstream_exchange_ptr& exchange);

} // namespace cyclamenhatch::edge
