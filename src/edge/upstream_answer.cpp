#include "edge/upstream_exchange.h"

#include <boost/beast/core/read_size.hpp>

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace cyclamenhatch::edge {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using exchange_ptr = upstream_exchange_ptr;

/// An answer's head may take this much, the callers' bound notwithstanding.
constexpr std::uint32_t max_answer_header_bytes = 65'536;
/// Answers to earlier requests and informational ones are read and dropped up to this size in all;
/// a late answer is one, and of ordinary size.
constexpr std::size_t max_dropped_bytes = 1'048'576;
/// How each answer starts, and where its status ends, as in "HTTP/1.1 200 ".
constexpr std::string_view protocol_start = "HTTP/1.";
constexpr std::size_t status_end = 13;
constexpr unsigned first_status = 100;
constexpr unsigned switching_protocols = 101;
constexpr unsigned first_final_status = 200;
/// At most this much is read at a time.
constexpr std::size_t read_bytes = 65'536;

void tell_fault(const upstream_exchange& of, std::string reason, std::uint64_t bytes) {
    if (of.events.on_fault && bytes > 0) {
        of.events.on_fault({std::move(reason), bytes});
    }
}

/// Ends the exchange for what was read.
void give_up(const exchange_ptr& self, std::string reason) {
    tell_fault(*self, std::move(reason), self->bytes_read);
    fail(self, false);
}

/// Gives the connection back for the next exchange when both sides are through with this one.
void finish(const exchange_ptr& self) {
    self->is_done = true;
    tell_fault(*self, "bytes after the answer's end", self->link->buffer.size());
    self->events = {};
    if (!self->is_sent || !self->parser->keep_alive() || self->link->buffer.size() > 0) {
        close_quietly(*self->link);
        return;
    }
    self->link->keep_alive =
        keep_alive_of(std::string(self->parser->get()[http::field::keep_alive]));
    give_back(*self->client, std::move(self->link));
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

/// Parses what was read. need_more when that holds no further whole part of the answer.
error_code parse(upstream_exchange& of) {
    auto& buffer = of.link->buffer;
    error_code result = http::error::need_more;
    if (buffer.size() > 0) {
        buffer.consume(of.parser->put(buffer.data(), result));
    }
    return result;
}

/// Reads once and goes on with `next`.
void receive(const exchange_ptr& self, void (*next)(const exchange_ptr&)) {
    auto& buffer = self->link->buffer;
    const auto wanted = boost::beast::read_size(buffer, read_bytes);
    if (wanted == 0) {
        give_up(self, "too long between two parts of an answer");
        return;
    }
    const auto room = buffer.prepare(wanted);
    self->link->socket.async_read_some(room, [self, next](error_code failed, std::size_t bytes) {
        if (self->is_done) {
            return;
        }
        self->link->buffer.commit(bytes);
        self->bytes_read += bytes;
        if (failed == asio::error::eof && self->parser->got_some()) {
            failed = {};
            self->parser->put_eof(failed);
        }
        const bool is_over = !self->has_own_answer && self->bytes_read > max_dropped_bytes;
        if (failed || is_over) {
            give_up(self, failed ? failed.message() : "too much before the answer");
            return;
        }
        next(self);
    });
}

void begin_answer(upstream_exchange& of) {
    of.is_skipping = false;
    of.parser.emplace();
    of.parser->header_limit(max_answer_header_bytes);
    of.parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    of.parser->skip(of.head.method == "HEAD");
}

void give_room(upstream_exchange& of, std::size_t bytes) {
    of.incoming.resize(bytes);
    auto& body = of.parser->get().body();
    body.data = of.incoming.data();
    body.size = of.incoming.size();
}

/// Whether the first bytes of an answer can be the start of a status line.
bool begins_as_answer(const upstream_exchange& of) {
    const auto bytes = of.link->buffer.data();
    const std::string_view read(static_cast<const char*>(bytes.data()), bytes.size());
    const auto common = std::min(read.size(), protocol_start.size());
    return read.substr(0, common) == protocol_start.substr(0, common);
}

/// Whether more of the status line has to be read before it is parsed. Beast looks at a status line
/// once and then not before the head's end, so it gets the status with the first bytes.
bool lacks_status(const upstream_exchange& of) {
    return !of.parser->got_some() && of.link->buffer.size() < status_end;
}

/// Reads heads, and answers to earlier requests to their end, up to the head that counts.
void read_heads(const exchange_ptr& self) {
    while (true) {
        if (self->is_skipping && self->parser->is_done()) {
            begin_answer(*self);
        }
        if (self->is_skipping) {
            give_room(*self, piece_bytes);
        }
        if (!self->parser->got_some() && !begins_as_answer(*self)) {
            give_up(self, "no answer in HTTP/1");
            return;
        }
        const error_code result = lacks_status(*self) ? http::error::need_more : parse(*self);
        if (result == http::error::need_more) {
            receive(self, read_heads);
            return;
        }
        if (result && result != http::error::need_buffer) {
            give_up(self, result.message());
            return;
        }
        if (self->is_skipping) {
            continue;
        }
        const auto status = self->parser->get().result_int();
        // Informational answers precede the one that counts; another protocol was not asked for.
        const bool is_informational = status >= first_status && status < first_final_status;
        if (is_informational && status != switching_protocols) {
            begin_answer(*self);
            continue;
        }
        if (status < first_final_status || !names_request(*self)) {
            give_up(self, status < first_final_status ? "status out of place"
                                                      : "answer to an unknown request");
            return;
        }
        self->is_skipping = is_stale(*self);
        if (!self->is_skipping) {
            self->has_own_answer = true;
            self->incoming.clear();
            read_piece(self);
            return;
        }
    }
}

/// Fills the piece: bodies of known length go in full pieces, others as they come, but for chunks
/// whose framing is not read to its end: that keeps short answers in one piece, which a gate can
/// tell again.
void fill_piece(const exchange_ptr& self) {
    const auto result = self->parser->is_done() ? error_code{} : parse(*self);
    if (result && result != http::error::need_more && result != http::error::need_buffer) {
        give_up(self, result.message());
        return;
    }
    const auto room = self->parser->get().body().size;
    const bool is_empty = room == self->incoming.size();
    const bool is_amid_framing = self->link->buffer.size() > 0;
    const bool wants_more =
        room > 0 && (is_empty || is_amid_framing || self->parser->content_length());
    if (wants_more && !self->parser->is_done()) {
        receive(self, fill_piece);
        return;
    }
    self->incoming = trim_piece(std::move(self->incoming), self->incoming.size() - room);
    hand_over(self);
}

} // namespace

void close_quietly(upstream_connection& link) {
    error_code ignored;
    link.socket.close(ignored);
}

void fail(const upstream_exchange_ptr& self, bool is_not_run) {
    if (std::exchange(self->is_done, true)) {
        return;
    }
    close_quietly(*self->link);
    // The callbacks may hold the exchange itself; they go with the end.
    const auto events = std::exchange(self->events, {});
    self->on_piece = nullptr;
    events.on_failure(is_not_run);
}

void read_answer(const upstream_exchange_ptr& self) {
    begin_answer(*self);
    read_heads(self);
}

void read_piece(const upstream_exchange_ptr& self) {
    if (self->parser->is_done()) {
        hand_over(self);
        return;
    }
    const auto remaining = self->parser->content_length_remaining();
    give_room(*self, std::min<std::uint64_t>(remaining.value_or(piece_bytes), piece_bytes));
    self->parser->eager(true);
    fill_piece(self);
}

} // namespace cyclamenhatch::edge
