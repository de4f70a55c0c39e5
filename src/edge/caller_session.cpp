#include "edge/caller_session.h"

#include "clock/process_clock.h"
#include "edge/caller_answer.h"
#include "edge/caller_request.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenhatch::edge {

using boost::system::error_code;

namespace {

/// Bytes of an unwanted body that are read before a connection closes, so that the caller sees the
/// answer rather than a reset.
constexpr std::size_t max_discarded_bytes = 1'048'576;
/// Requests of one connection that may be in flight at a time.
constexpr std::size_t max_pipelined = 16;

void touch(caller_session& session, bool is_waiting_for_caller) {
    session.active_at = std::chrono::steady_clock::now();
    session.is_waiting_for_caller = is_waiting_for_caller;
}

void discard_rest(const caller_session_ptr& self);

void on_discarded(const caller_session_ptr& self, error_code error, std::size_t bytes) {
    self->discarded_bytes += bytes;
    if (error || self->discarded_bytes > max_discarded_bytes) {
        close_session(self, disconnect_cause::caller_left);
        return;
    }
    discard_rest(self);
}

void discard_rest(const caller_session_ptr& self) {
    self->discard_buffer.resize(piece_bytes);
    self->socket.async_read_some(
        asio::buffer(self->discard_buffer), [self](error_code error, std::size_t bytes) {
            run_handler(self, nullptr, [&] { on_discarded(self, error, bytes); });
        });
}

/// Shuts down sending and reads until the caller closes, so that it can read the last answer.
/// Pipelined requests behind that answer count as not read.
void begin_lingering_close(const caller_session_ptr& self) {
    self->is_closing = true;
    touch(*self, true);
    drop_exchanges(self, disconnect_cause::connection_closing);
    error_code error;
    // A read of a head or body may be pending; its result is no longer needed.
    self->socket.cancel(error);
    self->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error) {
        close_session(self, disconnect_cause::caller_left);
        return;
    }
    discard_rest(self);
}

void begin_request(const caller_session_ptr& self, const caller_exchange_ptr& exchange);
void write_next_piece(const caller_session_ptr& self);

void finish_answer(const caller_session_ptr& self) {
    const auto exchange = self->open.front();
    exchange->is_over = true;
    touch(*self, true);
    const bool is_last = !is_read_whole(*exchange) || !exchange->answer.keep_alive();
    self->open.pop_front();
    if (is_last) {
        begin_lingering_close(self);
        return;
    }
    if (!self->open.empty() && !self->open.front()->is_handed_over &&
        !self->open.front()->is_answered) {
        begin_request(self, self->open.front());
    }
    if (self->open.empty() || is_read_whole(*self->open.back())) {
        read_head(self);
    }
    // Posted, so that pipelined requests do not deepen the stack.
    asio::post(self->executor,
               [self] { run_handler(self, nullptr, [&] { write_next_piece(self); }); });
}

void on_written(const caller_session_ptr& self, const caller_exchange_ptr& exchange,
                error_code error, bool is_last, const std::function<void()>& on_done) {
    exchange->is_writing = false;
    if (self->open.empty() || self->open.front() != exchange) {
        return;
    }
    if (error && error != http::error::need_buffer) {
        close_session(self, disconnect_cause::caller_left);
        return;
    }
    touch(*self, false);
    // Told first: once the answer counts as finished here, the call path hears no more of it.
    if (on_done) {
        on_done();
    }
    if (is_last) {
        finish_answer(self);
    } else {
        write_next_piece(self);
    }
}

void write_piece(const caller_session_ptr& self, const caller_exchange_ptr& exchange,
                 waiting_piece next) {
    if (next.head) {
        fill_answer(*self, *exchange, *next.head, next.piece);
        self->is_last_answer = !exchange->answer.keep_alive();
        exchange->serializer.emplace(exchange->answer);
    }
    exchange->outgoing = std::move(next.piece.bytes);
    if (exchange->parser->get().method() == http::verb::head) {
        // An answer of this node has a body, which is not sent.
        exchange->outgoing.clear();
    }
    auto& body = exchange->answer.body();
    body.data = exchange->outgoing.empty() ? nullptr : exchange->outgoing.data();
    body.size = exchange->outgoing.size();
    body.more = !next.piece.is_last;
    exchange->is_writing = true;
    touch(*self, true);
    http::async_write(self->socket, *exchange->serializer,
                      [self, exchange, is_last = next.piece.is_last,
                       on_done = std::move(next.on_done)](error_code error, std::size_t /*bytes*/) {
                          run_handler(self, exchange,
                                      [&] { on_written(self, exchange, error, is_last, on_done); });
                      });
}

/// Writes the next piece of the first open answer, if there is one.
void write_next_piece(const caller_session_ptr& self) {
    if (self->open.empty()) {
        return;
    }
    const auto exchange = self->open.front();
    if (exchange->is_broken) {
        close_session(self, disconnect_cause::connection_closing);
        return;
    }
    if (exchange->is_writing || exchange->waiting_pieces.empty()) {
        return;
    }
    auto next = std::move(exchange->waiting_pieces.front());
    exchange->waiting_pieces.pop_front();
    write_piece(self, exchange, std::move(next));
}

/// Answers a request that cannot be read; the connection closes after that.
void answer_fault(const caller_session_ptr& self, const caller_exchange_ptr& exchange,
                  request_fault fault, unsigned status, std::string_view title) {
    self->listener->events.on_fault(fault);
    if (exchange->is_handed_over && !exchange->is_over) {
        self->listener->events.on_disconnect(exchange, disconnect_cause::bad_request);
    }
    exchange->is_answered = true;
    exchange->is_last = true;
    exchange->on_piece = nullptr;
    queue_piece(exchange, make_fault_answer(status, title, !exchange->is_handed_over));
}

void on_bad_request(const caller_session_ptr& self, const caller_exchange_ptr& exchange,
                    error_code error) {
    if (error == http::error::header_limit) {
        answer_fault(self, exchange, request_fault::header_too_large, 431, "header too large");
    } else if (error == http::error::body_limit) {
        answer_fault(self, exchange, request_fault::body_too_large, 413, "body too large");
    } else {
        answer_fault(self, exchange, request_fault::broken_request, 400, "broken request");
    }
}

void on_first_piece(const caller_session_ptr& self, const caller_exchange_ptr& exchange,
                    body_piece first) {
    if (has_caller_left(*self)) {
        close_session(self, disconnect_cause::caller_left);
        return;
    }
    exchange->is_handed_over = true;
    auto head = take_head(*exchange);
    head.is_first_on_connection = !std::exchange(self->is_used, true);
    head.read_at = exchange->read_at;
    self->listener->events.on_request(exchange, std::move(head), std::move(first));
}

void send_continue(const caller_session_ptr& self, const caller_exchange_ptr& exchange) {
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(self->socket, asio::buffer(text),
                      [self, exchange](error_code error, std::size_t) {
                          if (error) {
                              close_session(self, disconnect_cause::caller_left);
                              return;
                          }
                          run_handler(self, exchange, [&] { read_piece(self, exchange); });
                      });
}

void begin_request(const caller_session_ptr& self, const caller_exchange_ptr& exchange) {
    exchange->on_piece = [self, exchange](body_piece piece) {
        on_first_piece(self, exchange, std::move(piece));
    };
    const bool expects_continue = !exchange->parser->get()[http::field::expect].empty();
    if (expects_continue && !exchange->parser->is_done()) {
        send_continue(self, exchange);
        return;
    }
    read_piece(self, exchange);
}

/// Whether a request may run at the same time as the earlier ones of its connection.
bool may_overlap(const caller_session& self, const caller_exchange& exchange) {
    const auto& events = self.listener->events;
    return is_read_whole(exchange) && events.may_overlap &&
           events.may_overlap(take_head(exchange)) &&
           std::all_of(self.open.begin(), self.open.end(), [](const caller_exchange_ptr& pending) {
               return pending->is_handed_over || pending->is_answered;
           });
}

void on_head(const caller_session_ptr& self, error_code error) {
    const auto exchange = std::exchange(self->next, nullptr);
    self->head_started_at.reset();
    if (exchange) {
        exchange->read_at = current_time();
    }
    if (!exchange || self->is_closing || self->is_last_answer) {
        return;
    }
    if (self->is_head_late) {
        self->open.push_back(exchange);
        answer_fault(self, exchange, request_fault::broken_request, 408, "request took too long");
        return;
    }
    if (error && !is_request_fault(error)) {
        close_session(self, disconnect_cause::caller_left);
        return;
    }
    const bool is_first = self->open.empty();
    const bool overlaps = !error && !is_first && may_overlap(*self, *exchange);
    self->open.push_back(exchange);
    if (error) {
        on_bad_request(self, exchange, error);
        return;
    }
    touch(*self, false);
    if (is_first || overlaps) {
        begin_request(self, exchange);
    }
}

void deliver_piece(const caller_session_ptr& self, const caller_exchange_ptr& exchange) {
    const bool is_last = exchange->parser->is_done();
    const auto on_piece = std::exchange(exchange->on_piece, nullptr);
    body_piece piece{std::exchange(exchange->incoming, {}), is_last};
    touch(*self, false);
    if (is_last) {
        read_head(self);
    }
    if (on_piece) {
        on_piece(std::move(piece));
    }
}

void on_body_fault(const caller_session_ptr& self, const caller_exchange_ptr& exchange,
                   error_code error) {
    if (is_request_fault(error) && !exchange->is_answered) {
        on_bad_request(self, exchange, error);
        return;
    }
    close_session(self, disconnect_cause::caller_left);
}

void on_read(const caller_session_ptr& self, const caller_exchange_ptr& exchange, error_code error);

void read_some(const caller_session_ptr& self, const caller_exchange_ptr& exchange) {
    http::async_read_some(self->socket, self->buffer, *exchange->parser,
                          [self, exchange](error_code error, std::size_t /*bytes*/) {
                              run_handler(self, exchange, [&] { on_read(self, exchange, error); });
                          });
}

void on_read(const caller_session_ptr& self, const caller_exchange_ptr& exchange,
             error_code error) {
    if (exchange->is_over || self->is_closing) {
        return;
    }
    if (error && error != http::error::need_buffer) {
        on_body_fault(self, exchange, error);
        return;
    }
    touch(*self, true);
    const auto room = exchange->parser->get().body().size;
    if (!exchange->parser->is_done() && room > 0) {
        read_some(self, exchange);
        return;
    }
    trim_piece(exchange->incoming, exchange->incoming.size() - room);
    exchange->received_bytes += exchange->incoming.size();
    deliver_piece(self, exchange);
}

} // namespace

caller_session::caller_session(std::shared_ptr<caller_listener> listener_ptr,
                               caller_socket connected_socket)
    : listener(std::move(listener_ptr)), socket(std::move(connected_socket)),
      executor(socket.get_executor()) {
    const std::lock_guard guard(listener->lock);
    listener->sessions.insert(this);
}

caller_session::~caller_session() {
    const std::lock_guard guard(listener->lock);
    listener->sessions.erase(this);
}

void read_head(const caller_session_ptr& self) {
    if (!self->socket.is_open() || self->is_closing || self->is_last_answer || self->next ||
        self->open.size() >= max_pipelined) {
        return;
    }
    // Leaves further requests unread, so that the connection closes after those that are open.
    if (self->listener->is_stopping && !self->open.empty()) {
        return;
    }
    const auto next = std::make_shared<caller_exchange>(self);
    self->next = next;
    auto& parser = next->parser.emplace();
    next->limits = limits_of(*self);
    limit_head(*self, *next);
    // The handler keeps the parser alive when the session drops it on closing.
    http::async_read_header(self->socket, self->buffer, parser,
                            [self, next](error_code error, std::size_t /*bytes*/) {
                                run_handler(self, next, [&] { on_head(self, error); });
                            });
}

void read_piece(const caller_session_ptr& self, const caller_exchange_ptr& exchange) {
    auto& parser = *exchange->parser;
    if (parser.is_done()) {
        deliver_piece(self, exchange);
        return;
    }
    const auto remaining = parser.content_length_remaining();
    const auto piece_size = std::min<std::uint64_t>(remaining.value_or(piece_bytes), piece_bytes);
    exchange->incoming.resize(piece_size);
    auto& body = parser.get().body();
    body.data = exchange->incoming.data();
    body.size = exchange->incoming.size();
    parser.eager(true);
    touch(*self, true);
    read_some(self, exchange);
}

void queue_piece(const caller_exchange_ptr& exchange, waiting_piece piece) {
    exchange->waiting_pieces.push_back(std::move(piece));
    write_next_piece(exchange->owner);
}

void break_answer(const caller_exchange_ptr& exchange) {
    exchange->is_over = true;
    exchange->is_broken = true;
    exchange->waiting_pieces.clear();
    write_next_piece(exchange->owner);
}

} // namespace cyclamenhatch::edge
