#include "edge/upstream_exchange.h"

#include <boost/asio/post.hpp>
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

/// Limit for the head of an answer; independent of the callers' limit.
constexpr std::uint32_t max_answer_header_bytes = 65'536;
/// Informational answers and answers to earlier requests are dropped up to this total size. Usually
/// there is at most one late answer, of ordinary size.
constexpr std::size_t max_dropped_bytes = 1'048'576;
/// Limit of the bytes read for one answer that are not its body: heads, dropped answers and chunk
/// framing. A longer body may have more framing, in proportion; a chunk of one byte has five bytes
/// of it.
constexpr std::uint64_t max_framing_bytes = 2'097'152;
constexpr std::uint64_t max_framing_ratio = 16;
/// Prefix of each status line, and the length up to the end of the status, as in "HTTP/1.1 200 ".
constexpr std::string_view protocol_start = "HTTP/1.";
constexpr std::size_t status_end = 13;
constexpr unsigned first_status = 100;
constexpr unsigned switching_protocols = 101;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;
/// Maximum size of one read.
constexpr std::size_t read_bytes = 65'536;

void report_fault(const upstream_exchange& exchange, std::string reason, std::uint64_t bytes) {
    if (exchange.events.on_fault && bytes > 0) {
        exchange.events.on_fault({std::move(reason), bytes});
    }
}

/// Fails the exchange because of the bytes read.
void give_up(const exchange_ptr& self, std::string reason) {
    report_fault(*self, std::move(reason), self->bytes_read);
    fail(self, false);
}

/// Ends the exchange. Releases the connection for the next one if both request and answer are
/// complete.
void finish(const exchange_ptr& self) {
    self->is_done = true;
    report_fault(*self, "bytes after the answer's end", self->connection->buffer.size());
    if (!self->is_sent || !self->parser->keep_alive() || self->connection->buffer.size() > 0) {
        close_connection(*self->connection);
        return;
    }
    self->connection->keep_alive =
        parse_keep_alive(std::string(self->parser->get()[http::field::keep_alive]));
    release_connection(*self->client, std::move(self->connection));
}

/// Passes on what was read: the head with the first piece, or a further piece.
void deliver(const exchange_ptr& self) {
    const bool is_last = self->parser->is_done();
    self->passed_bytes += self->incoming.size();
    body_piece piece{std::exchange(self->incoming, {}), is_last};
    if (self->is_head_read) {
        const auto on_piece = std::exchange(self->on_piece, nullptr);
        if (is_last) {
            finish(self);
        }
        on_piece(std::move(piece));
        return;
    }
    self->is_head_read = true;
    answer_head answer{.status = self->parser->get().result_int(), .headers = {}};
    for (const auto& field : self->parser->get()) {
        answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    drop_named_by_connection(answer.headers);
    const auto on_answer = self->events.on_answer;
    if (is_last) {
        finish(self);
    }
    on_answer(std::move(answer), std::move(piece));
}

/// The request to which an answer belongs.
enum class answer_owner { own_request, earlier_request, unknown };

/// Decides by the ids that the answer names. One that names none or several proves nothing.
answer_owner find_owner(const upstream_exchange& exchange) {
    const auto& match = exchange.match;
    // The connection of a request without an id is new, so that no earlier one can be answered.
    if (match.header.empty() || match.value.empty()) {
        return answer_owner::own_request;
    }
    const auto [first, last] = exchange.parser->get().equal_range(match.header);
    if (first == last) {
        return answer_owner::unknown;
    }
    const auto id = first->value();
    if (std::any_of(first, last, [&](const auto& field) { return field.value() != id; })) {
        return answer_owner::unknown;
    }
    return id == match.value ? answer_owner::own_request : answer_owner::earlier_request;
}

/// Parses the bytes read. Returns need_more when they hold no further complete part of the answer.
error_code parse(upstream_exchange& exchange) {
    auto& buffer = exchange.connection->buffer;
    error_code result = http::error::need_more;
    if (buffer.size() > 0) {
        buffer.consume(exchange.parser->put(buffer.data(), result));
    }
    return result;
}

void on_received(const exchange_ptr& self, error_code error, std::size_t bytes,
                 void (*next)(const exchange_ptr&)) {
    if (self->is_done) {
        return;
    }
    self->connection->buffer.commit(bytes);
    self->bytes_read += bytes;
    if (error == asio::error::eof && self->is_writing) {
        // Only the end of the write tells whether the upstream has reset the connection. Nothing
        // more can come on it; closing it ends a write that the upstream does not read.
        close_connection(*self->connection);
        self->after_write = next;
        return;
    }
    if (error == asio::error::eof && self->is_reset) {
        error = asio::error::connection_reset;
    }
    if (error == asio::error::eof && self->parser->got_some()) {
        error = {};
        self->parser->put_eof(error);
    }
    const bool is_over = !self->has_own_answer && self->bytes_read > max_dropped_bytes;
    if (error || is_over) {
        give_up(self, error ? error.message() : "too much before the answer");
        return;
    }
    next(self);
}

/// Reads once and continues with `next`.
void receive(const exchange_ptr& self, void (*next)(const exchange_ptr&)) {
    auto& buffer = self->connection->buffer;
    // Beast reads as much as the buffer's capacity, which a head leaves at 512 bytes.
    const std::size_t least = self->has_own_answer ? piece_bytes : 0;
    const auto size = std::min(std::max(boost::beast::read_size(buffer, read_bytes), least),
                               buffer.max_size() - buffer.size());
    if (size == 0) {
        give_up(self, "too long between two parts of an answer");
        return;
    }
    const auto room = buffer.prepare(size);
    self->connection->socket.async_read_some(
        room, [self, next](error_code error, std::size_t bytes) {
            run_handler(self, [&] { on_received(self, error, bytes, next); });
        });
}

void begin_answer(upstream_exchange& exchange) {
    exchange.is_skipping = false;
    exchange.parser.emplace();
    exchange.parser->header_limit(max_answer_header_bytes);
    exchange.parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    exchange.parser->skip(exchange.head.method == "HEAD");
}

void set_body_buffer(upstream_exchange& exchange, std::size_t bytes) {
    exchange.incoming.resize(bytes);
    auto& body = exchange.parser->get().body();
    body.data = exchange.incoming.data();
    body.size = exchange.incoming.size();
}

/// Whether the first bytes of an answer can be the start of a status line.
bool may_start_answer(const upstream_exchange& exchange) {
    const auto bytes = exchange.connection->buffer.data();
    const std::string_view read(static_cast<const char*>(bytes.data()), bytes.size());
    const auto common = std::min(read.size(), protocol_start.size());
    return read.substr(0, common) == protocol_start.substr(0, common);
}

/// Whether more of the status line must be read before parsing. Beast parses a status line at once
/// or only at the end of the head, so it must get the status with the first bytes.
bool lacks_status(const upstream_exchange& exchange) {
    return !exchange.parser->got_some() && exchange.connection->buffer.size() < status_end;
}

/// Reads up to the final head of the answer to this request; skips informational heads and whole
/// answers to earlier requests.
void read_heads(const exchange_ptr& self) {
    while (true) {
        if (self->is_skipping && self->parser->is_done()) {
            begin_answer(*self);
        }
        if (self->is_skipping) {
            set_body_buffer(*self, piece_bytes);
        }
        if (!self->parser->got_some() && !may_start_answer(*self)) {
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
        // Informational answers precede the final one; a change of protocol was not requested.
        const bool is_informational = status >= first_status && status < first_final_status;
        if (is_informational && status != switching_protocols) {
            begin_answer(*self);
            continue;
        }
        const auto owner = find_owner(*self);
        const bool is_out_of_place = status < first_final_status || status > last_status;
        if (is_out_of_place || owner == answer_owner::unknown) {
            give_up(self, is_out_of_place ? "status out of place" : "answer to an unknown request");
            return;
        }
        self->is_skipping = owner == answer_owner::earlier_request;
        if (!self->is_skipping) {
            self->has_own_answer = true;
            self->incoming.clear();
            read_piece(self);
            return;
        }
    }
}

/// Whether the upstream sends next to no body in much framing, which would keep this host busy
/// until the call's deadline. `filled` bytes of the current piece are read.
bool has_too_much_framing(const upstream_exchange& exchange, std::size_t filled) {
    return exchange.bytes_read >
           max_framing_bytes + max_framing_ratio * (exchange.passed_bytes + filled);
}

/// Fills the current piece. Bodies of known length are split into full pieces; others are passed on
/// as they arrive, but not amid unparsed chunk framing. This keeps short answers in one piece,
/// which the gate can store and repeat.
void fill_piece(const exchange_ptr& self) {
    const auto result = self->parser->is_done() ? error_code{} : parse(*self);
    if (result && result != http::error::need_more && result != http::error::need_buffer) {
        give_up(self, result.message());
        return;
    }
    const auto room = self->parser->get().body().size;
    const bool is_empty = room == self->incoming.size();
    const bool has_unparsed_bytes = self->connection->buffer.size() > 0;
    const bool wants_more =
        room > 0 && (is_empty || has_unparsed_bytes || self->parser->content_length());
    if (has_too_much_framing(*self, self->incoming.size() - room)) {
        give_up(self, "too much framing for the body");
        return;
    }
    if (wants_more && !self->parser->is_done()) {
        receive(self, fill_piece);
        return;
    }
    trim_piece(self->incoming, self->incoming.size() - room);
    deliver(self);
}

} // namespace

void close_connection(upstream_connection& connection) {
    error_code ignored;
    connection.socket.close(ignored);
}

void fail(const upstream_exchange_ptr& self, bool is_not_run) {
    if (std::exchange(self->is_done, true)) {
        return;
    }
    close_connection(*self->connection);
    // The callbacks may hold the exchange itself, so they are released at its end.
    const auto events = std::exchange(self->events, {});
    self->on_piece = nullptr;
    // An owner that cannot note the end would wait for it for ever.
    const shared_state_scope scope;
    events.on_failure(is_not_run);
}

void end_faulty(const upstream_exchange_ptr& self, const std::string& reason) {
    self->is_done = true;
    self->is_faulty = true;
    if (self->connection) {
        close_connection(*self->connection);
    }
    self->on_piece = nullptr;
    if (self->on_exception) {
        self->on_exception(reason);
    }
    // Posted: the owner may be running below this handler.
    asio::post(self->executor, [self] {
        const auto events = std::exchange(self->events, {});
        if (events.on_failure) {
            events.on_failure(false);
        }
    });
}

void read_answer(const upstream_exchange_ptr& self) {
    begin_answer(*self);
    read_heads(self);
}

void continue_at_end(const upstream_exchange_ptr& self) {
    if (auto* const next = std::exchange(self->after_write, nullptr)) {
        on_received(self, asio::error::eof, 0, next);
    }
}

void read_piece(const upstream_exchange_ptr& self) {
    if (self->parser->is_done()) {
        deliver(self);
        return;
    }
    const auto remaining = self->parser->content_length_remaining();
    set_body_buffer(*self, std::min<std::uint64_t>(remaining.value_or(piece_bytes), piece_bytes));
    self->parser->eager(true);
    fill_piece(self);
}

} // namespace cyclamenhatch::edge
