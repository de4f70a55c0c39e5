#include "edge/upstream_client.h"

#include "edge/upstream_connection.h"
#include "edge/upstream_request.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace cyclamenhatch::edge {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// An answer's head may take this much, the callers' bound notwithstanding.
constexpr std::uint32_t max_answer_header_bytes = 65'536;
/// Time limit for opening a connection to the upstream, which is on this host.
constexpr std::chrono::milliseconds connect_timeout{400};
/// An answer to an earlier request is read and dropped up to this size.
constexpr std::size_t max_stale_bytes = 1'048'576;

} // namespace

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
    http::request<http::buffer_body> request;
    std::optional<http::request_serializer<http::buffer_body>> serializer;
    std::optional<http::response_parser<http::buffer_body>> parser;
    body_bytes incoming;
    std::function<void(body_piece)> on_piece;
    bool is_reused = false;
    bool is_sent = false;
    bool is_head_read = false;
    bool is_done = false;
    std::size_t stale_bytes = 0;
};

namespace {

using exchange_ptr = upstream_exchange_ptr;

void close_quietly(upstream_connection& link) {
    error_code ignored;
    link.socket.close(ignored);
}

void fail(const exchange_ptr& self, bool is_not_run) {
    if (std::exchange(self->is_done, true)) {
        return;
    }
    close_quietly(*self->link);
    // The callbacks may hold the exchange itself; they go with the end.
    const auto events = std::exchange(self->events, {});
    self->on_piece = nullptr;
    events.on_failure(is_not_run);
}

/// Gives the connection back for the next exchange when both sides are through with this one.
void finish(const exchange_ptr& self) {
    self->is_done = true;
    self->events = {};
    if (!self->is_sent || !self->parser->keep_alive() || self->link->buffer.size() > 0) {
        close_quietly(*self->link);
        return;
    }
    self->link->keep_alive =
        keep_alive_of(std::string(self->parser->get()[http::field::keep_alive]));
    give_back(*self->client, std::move(self->link));
}

void set_body(upstream_exchange& of, bool is_last) {
    auto& body = of.request.body();
    body.data = of.outgoing.empty() ? nullptr : of.outgoing.data();
    body.size = of.outgoing.size();
    body.more = !is_last;
}

/// Hands over what was read: the head with its first piece, or a further piece.
void hand_over(const exchange_ptr& self) {
    const bool is_last = self->parser->is_done();
    body_piece piece{std::exchange(self->incoming, {}), is_last};
    if (self->is_head_read) {
        const auto done = std::exchange(self->on_piece, nullptr);
        if (is_last) {
            finish(self);
        }
        done(std::move(piece));
        return;
    }
    self->is_head_read = true;
    answer_head answer{.status = self->parser->get().result_int(), .headers = {}};
    for (const auto& each : self->parser->get()) {
        answer.headers.push_back({std::string(each.name_string()), std::string(each.value())});
    }
    drop_named_by_connection(answer.headers);
    const auto on_answer = self->events.on_answer;
    if (is_last) {
        finish(self);
    }
    on_answer(std::move(answer), std::move(piece));
}

/// Whether more should be read before a piece is handed over: bodies of known length go in full
/// pieces, others as they come.
bool wants_more(const upstream_exchange& of) {
    const auto room = of.parser->get().body().size;
    if (of.parser->is_done() || room == 0) {
        return false;
    }
    const bool is_empty = room == of.incoming.size();
    return is_empty || of.parser->content_length() || of.link->buffer.size() > 0;
}

void read_more(const exchange_ptr& self) {
    http::async_read_some(self->link->socket, self->link->buffer, *self->parser,
                          [self](error_code failed, std::size_t /*bytes*/) {
                              if (self->is_done) {
                                  return;
                              }
                              if (failed && failed != http::error::need_buffer) {
                                  fail(self, false);
                                  return;
                              }
                              if (wants_more(*self)) {
                                  read_more(self);
                                  return;
                              }
                              const auto room = self->parser->get().body().size;
                              const auto size = self->incoming.size() - room;
                              self->incoming = trim_piece(std::move(self->incoming), size);
                              hand_over(self);
                          });
}

void read_piece(const exchange_ptr& self) {
    if (self->parser->is_done()) {
        hand_over(self);
        return;
    }
    const auto remaining = self->parser->content_length_remaining();
    const auto wanted = std::min<std::uint64_t>(remaining.value_or(piece_bytes), piece_bytes);
    self->incoming.resize(wanted);
    auto& body = self->parser->get().body();
    body.data = self->incoming.data();
    body.size = self->incoming.size();
    self->parser->eager(true);
    read_more(self);
}

void read_answer(const exchange_ptr& self);

/// Whether the answer says which request it belongs to, where answers do.
bool names_request(const upstream_exchange& of) {
    return of.match.header.empty() || of.parser->get().count(of.match.header) > 0;
}

/// Whether the answer whose head was read is that to another request.
bool is_stale(const upstream_exchange& of) {
    if (of.match.header.empty()) {
        return false;
    }
    return of.parser->get()[of.match.header] != of.match.value;
}

/// Reads an answer to an earlier request to its end, then the next one.
void skip_answer(const exchange_ptr& self) {
    if (self->parser->is_done()) {
        self->incoming.clear();
        read_answer(self);
        return;
    }
    self->incoming.resize(piece_bytes);
    auto& body = self->parser->get().body();
    body.data = self->incoming.data();
    body.size = self->incoming.size();
    http::async_read_some(self->link->socket, self->link->buffer, *self->parser,
                          [self](error_code failed, std::size_t bytes) {
                              if (self->is_done) {
                                  return;
                              }
                              self->stale_bytes += bytes;
                              const bool is_broken = failed && failed != http::error::need_buffer;
                              if (is_broken || self->stale_bytes > max_stale_bytes) {
                                  fail(self, false);
                                  return;
                              }
                              skip_answer(self);
                          });
}

void read_answer(const exchange_ptr& self) {
    self->parser.emplace();
    self->parser->header_limit(max_answer_header_bytes);
    self->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    self->parser->skip(self->head.method == "HEAD");
    http::async_read_header(self->link->socket, self->link->buffer, *self->parser,
                            [self](error_code failed, std::size_t /*bytes*/) {
                                if (self->is_done) {
                                    return;
                                }
                                if (failed) {
                                    fail(self, false);
                                    return;
                                }
                                // Informational answers precede the one that counts.
                                if (self->parser->get().result_int() < 200) {
                                    read_answer(self);
                                    return;
                                }
                                if (!names_request(*self)) {
                                    fail(self, false);
                                    return;
                                }
                                if (is_stale(*self)) {
                                    skip_answer(self);
                                    return;
                                }
                                read_piece(self);
                            });
}

void connect(const exchange_ptr& self, bool is_whole);

/// Nothing was sent on a kept connection that turned out closed: a new one is as good.
void connect_anew(const exchange_ptr& self, bool is_whole) {
    close_quietly(*self->link);
    self->link->buffer.clear();
    self->is_reused = false;
    self->next_target = 0;
    self->request = {};
    connect(self, is_whole);
}

void write_request(const exchange_ptr& self, bool is_whole) {
    fill_request(self->request, self->head, self->outgoing.size(), is_whole);
    set_body(*self, is_whole);
    self->serializer.emplace(self->request);
    http::async_write(self->link->socket, *self->serializer,
                      [self, is_whole](error_code failed, std::size_t bytes) {
                          if (self->is_done) {
                              return;
                          }
                          const bool is_failed = failed && failed != http::error::need_buffer;
                          if (is_failed && bytes == 0 && self->is_reused) {
                              connect_anew(self, is_whole);
                              return;
                          }
                          if (is_failed && bytes == 0) {
                              fail(self, true);
                              return;
                          }
                          // A failed write does not rule out an answer: the upstream may have
                          // refused the body early.
                          self->is_sent = is_whole && !is_failed;
                          read_answer(self);
                          if (!is_whole && !is_failed) {
                              self->events.on_taken();
                          }
                      });
}

void connect(const exchange_ptr& self, bool is_whole) {
    if (self->next_target >= self->targets.size()) {
        fail(self, true);
        return;
    }
    const auto& target = self->targets[self->next_target++];
    self->timer.expires_after(connect_timeout);
    self->timer.async_wait([self](error_code cancelled) {
        if (!cancelled) {
            close_quietly(*self->link);
        }
    });
    self->link->socket.async_connect(target, [self, is_whole](error_code failed) {
        self->timer.cancel();
        if (self->is_done) {
            return;
        }
        if (failed) {
            close_quietly(*self->link);
            connect(self, is_whole);
            return;
        }
        error_code ignored;
        self->link->socket.set_option(tcp::no_delay(true), ignored);
        write_request(self, is_whole);
    });
}

void write_piece(const exchange_ptr& self, body_piece piece, std::function<void()> done) {
    const bool is_last = piece.is_last;
    self->outgoing = std::move(piece.bytes);
    set_body(*self, is_last);
    http::async_write(self->link->socket, *self->serializer,
                      [self, is_last, done = std::move(done)](error_code failed, std::size_t) {
                          if (self->is_done || (failed && failed != http::error::need_buffer)) {
                              return;
                          }
                          self->is_sent = is_last;
                          done();
                      });
}

} // namespace

upstream_exchange_ptr prepare_exchange(const std::shared_ptr<upstream_client>& client,
                                       std::chrono::milliseconds max_idle) {
    std::vector<tcp::endpoint> targets;
    bool is_reused = false;
    auto link = take_connection(*client, max_idle, targets, is_reused);
    auto self = std::make_shared<upstream_exchange>(link->socket.get_executor());
    self->client = client;
    self->link = std::move(link);
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
                       self->match = std::move(match);
                       self->head = std::move(head);
                       self->outgoing = std::move(first.bytes);
                       if (self->is_reused) {
                           write_request(self, first.is_last);
                       } else {
                           connect(self, first.is_last);
                       }
                   });
}

void write_body(const upstream_exchange_ptr& exchange, body_piece piece,
                std::function<void()> done) {
    asio::dispatch(exchange->executor,
                   [exchange, piece = std::move(piece), done = std::move(done)]() mutable {
                       if (!exchange->is_done) {
                           write_piece(exchange, std::move(piece), std::move(done));
                       }
                   });
}

void read_body(const upstream_exchange_ptr& exchange, std::function<void(body_piece)> done) {
    asio::dispatch(exchange->executor, [exchange, done = std::move(done)]() mutable {
        if (exchange->is_done) {
            return;
        }
        exchange->on_piece = std::move(done);
        read_piece(exchange);
    });
}

void abort_exchange(const upstream_exchange_ptr& exchange) {
    asio::dispatch(exchange->executor, [exchange] {
        if (!std::exchange(exchange->is_done, true)) {
            close_quietly(*exchange->link);
        }
        exchange->events = {};
        exchange->on_piece = nullptr;
    });
}

} // namespace cyclamenhatch::edge
