#include "edge/upstream_client.h"

#include "edge/upstream_exchange.h"
#include "edge/upstream_request.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/http.hpp>

#include <utility>
#include <vector>

namespace cyclamenhatch::edge {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time limit for opening a connection to the upstream, which is on this host.
constexpr std::chrono::milliseconds connect_timeout{400};

using exchange_ptr = upstream_exchange_ptr;

void set_body(upstream_exchange& exchange, bool is_last) {
    auto& body = exchange.request.body();
    body.data = exchange.outgoing.empty() ? nullptr : exchange.outgoing.data();
    body.size = exchange.outgoing.size();
    body.more = !is_last;
}

void connect(const exchange_ptr& self, bool is_whole);

/// Opens a new connection in place of a kept one that was closed before any byte of the request was
/// sent.
void reconnect(const exchange_ptr& self, bool is_whole) {
    close_connection(*self->connection);
    self->connection->buffer.clear();
    self->connection->sent_ids.clear();
    self->is_reused = false;
    self->next_target = 0;
    self->request = {};
    connect(self, is_whole);
}

/// Whether a late answer may come on the connection that no id could tell from the answer to this
/// request: it has none, or an earlier attempt of the same call had the same.
bool is_ambiguous(const upstream_exchange& exchange) {
    const auto& match = exchange.match;
    return !match.header.empty() &&
           (match.value.empty() || has_carried(*exchange.connection, match.value));
}

bool has_failed(error_code error) {
    return error && error != http::error::need_buffer;
}

/// Whether a write shows that the connection was lost. A broken pipe does not: the upstream had
/// ended its side in order before it closed the connection.
bool is_loss(error_code error) {
    const bool is_closed_here =
        error == asio::error::operation_aborted || error == asio::error::bad_descriptor;
    return has_failed(error) && !is_closed_here && error != asio::error::broken_pipe;
}

void on_written(const exchange_ptr& self, bool is_whole, error_code error, std::size_t bytes) {
    if (self->is_done) {
        return;
    }
    const bool is_failed = has_failed(error);
    if (is_failed && bytes == 0 && self->is_reused) {
        reconnect(self, is_whole);
        return;
    }
    if (is_failed && bytes == 0) {
        fail(self, true);
        return;
    }
    // An answer may follow a failed write: the upstream may have refused the body early.
    self->is_sent = is_whole && !is_failed;
    self->is_reset = is_loss(error);
    read_answer(self);
    if (!is_whole && !is_failed) {
        self->events.on_taken();
    }
}

void write_request(const exchange_ptr& self, bool is_whole) {
    if (!self->match.value.empty()) {
        remember_id(*self->connection, self->match.value);
    }
    fill_request(self->request, self->head, self->outgoing.size(), is_whole);
    set_body(*self, is_whole);
    self->serializer.emplace(self->request);
    http::async_write(self->connection->socket, *self->serializer,
                      [self, is_whole](error_code error, std::size_t bytes) {
                          run_handler(self, [&] { on_written(self, is_whole, error, bytes); });
                      });
}

void on_connected(const exchange_ptr& self, bool is_whole, error_code error) {
    self->is_connecting = false;
    self->timer.cancel();
    if (self->is_done) {
        return;
    }
    if (error) {
        close_connection(*self->connection);
        connect(self, is_whole);
        return;
    }
    error_code ignored;
    self->connection->socket.set_option(tcp::no_delay(true), ignored);
    write_request(self, is_whole);
}

void connect(const exchange_ptr& self, bool is_whole) {
    if (self->next_target >= self->targets.size()) {
        fail(self, true);
        return;
    }
    const auto& target = self->targets[self->next_target++];
    self->is_connecting = true;
    self->timer.expires_after(connect_timeout);
    self->timer.async_wait([self, target_number = self->next_target](error_code cancelled) {
        // A late loop may see the connection's success and the end of its time in one turn; then
        // the wait can no longer be cancelled.
        const bool is_pending = self->is_connecting && self->next_target == target_number;
        if (!cancelled && is_pending) {
            close_connection(*self->connection);
        }
    });
    self->connection->socket.async_connect(target, [self, is_whole](error_code error) {
        run_handler(self, [&] { on_connected(self, is_whole, error); });
    });
}

void begin(const exchange_ptr& self, bool is_whole) {
    if (self->is_reused && is_ambiguous(*self)) {
        reconnect(self, is_whole);
    } else if (self->is_reused) {
        write_request(self, is_whole);
    } else {
        connect(self, is_whole);
    }
}

void on_piece_written(const exchange_ptr& self, bool is_last, error_code error,
                      const std::function<void()>& on_done) {
    if (self->is_done) {
        return;
    }
    self->is_writing = false;
    self->is_reset = is_loss(error);
    self->is_sent = is_last && !has_failed(error);
    if (self->after_write != nullptr) {
        continue_at_end(self);
    } else if (!has_failed(error)) {
        on_done();
    }
}

void write_piece(const exchange_ptr& self, body_piece piece, std::function<void()> on_done) {
    const bool is_last = piece.is_last;
    self->outgoing = std::move(piece.bytes);
    self->is_writing = true;
    set_body(*self, is_last);
    http::async_write(self->connection->socket, *self->serializer,
                      [self, is_last, on_done = std::move(on_done)](error_code error, std::size_t) {
                          run_handler(self,
                                      [&] { on_piece_written(self, is_last, error, on_done); });
                      });
}

} // namespace

upstream_exchange_ptr prepare_exchange(const std::shared_ptr<upstream_client>& client,
                                       std::chrono::milliseconds max_idle) {
    std::vector<tcp::endpoint> targets;
    bool is_reused = false;
    auto connection = take_connection(*client, max_idle, targets, is_reused);
    auto self = std::make_shared<upstream_exchange>(connection->socket.get_executor());
    self->client = client;
    self->connection = std::move(connection);
    self->targets = std::move(targets);
    self->is_reused = is_reused;
    return self;
}

void send_request(const upstream_exchange_ptr& exchange, request_head head, body_piece first,
                  answer_match match, upstream_events events) {
    asio::dispatch(exchange->executor,
                   [self = exchange, head = std::move(head), first = std::move(first),
                    match = std::move(match), events = std::move(events)]() mutable {
                       if (self->is_done) {
                           return;
                       }
                       self->events = std::move(events);
                       self->on_exception = self->events.on_exception;
                       self->match = std::move(match);
                       self->head = std::move(head);
                       self->outgoing = std::move(first.bytes);
                       run_handler(self, [&] { begin(self, first.is_last); });
                   });
}

void write_body(const upstream_exchange_ptr& exchange, body_piece piece,
                std::function<void()> on_done) {
    asio::dispatch(exchange->executor,
                   [exchange, piece = std::move(piece), on_done = std::move(on_done)]() mutable {
                       if (!exchange->is_done) {
                           run_handler(exchange, [&] {
                               write_piece(exchange, std::move(piece), std::move(on_done));
                           });
                       }
                   });
}

void read_body(const upstream_exchange_ptr& exchange, std::function<void(body_piece)> on_done) {
    asio::dispatch(exchange->executor, [exchange, on_done = std::move(on_done)]() mutable {
        if (exchange->is_done) {
            return;
        }
        exchange->on_piece = std::move(on_done);
        run_handler(exchange, [&] { read_piece(exchange); });
    });
}

std::uint64_t bytes_before_head(const upstream_exchange_ptr& exchange) {
    return exchange->has_own_answer ? 0 : exchange->bytes_read.load();
}

void abort_exchange(const upstream_exchange_ptr& exchange) {
    asio::dispatch(exchange->executor, [exchange] {
        if (!std::exchange(exchange->is_done, true)) {
            close_connection(*exchange->connection);
        }
        exchange->events = {};
        exchange->on_piece = nullptr;
    });
}

} // namespace cyclamenhatch::edge
