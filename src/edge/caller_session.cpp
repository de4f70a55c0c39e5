#include "edge/caller_session.h"

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

/// How much of an unwanted body is read before a connection closes, so that the caller sees the
/// answer rather than a reset.
constexpr std::size_t max_discarded_bytes = 1'048'576;
/// How long the caller may take to close its side after the last answer.
constexpr std::chrono::seconds max_closing{2};
/// A caller that neither sends the rest of its request nor takes its answer for this long is
/// disconnected.
constexpr std::chrono::seconds max_stall{30};
/// Beyond the stated idle time, so that a request sent in the last moment does not meet the close.
constexpr std::chrono::milliseconds idle_margin{1000};
/// Requests of one connection that may be under way at a time.
constexpr std::size_t max_pipelined = 16;

void touch(caller_session& of, bool is_waiting_for_caller) {
    of.active_at = std::chrono::steady_clock::now();
    of.is_waiting_for_caller = is_waiting_for_caller;
}

listener_limits limits_of(const caller_session& session) {
    const std::lock_guard guard(session.listener->lock);
    return session.listener->limits;
}

void discard_rest(const caller_session_ptr& self) {
    self->waste.resize(piece_bytes);
    self->socket.async_read_some(asio::buffer(self->waste),
                                 [self](error_code failed, std::size_t bytes) {
                                     self->discarded += bytes;
                                     if (failed || self->discarded > max_discarded_bytes) {
                                         close_session(self, caller_end::left);
                                         return;
                                     }
                                     discard_rest(self);
                                 });
}

/// Drops all exchanges but one that is being written to its end.
void drop_open(const caller_session_ptr& self, caller_end cause) {
    for (const auto& each : std::exchange(self->open, {})) {
        each->on_piece = nullptr;
        each->waiting.clear();
        if (!std::exchange(each->is_over, true) && each->is_handed_over) {
            self->listener->events.on_gone(each, cause);
        }
    }
}

/// Closes once the caller had a chance to read the last answer. Requests sent behind it count as
/// not read.
void close_gently(const caller_session_ptr& self) {
    self->is_closing = true;
    touch(*self, true);
    drop_open(self, caller_end::closing);
    error_code failed;
    // A read of a head or body may be under way; its result is of no use now.
    self->socket.cancel(failed);
    self->socket.shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    if (failed) {
        close_session(self, caller_end::left);
        return;
    }
    discard_rest(self);
}

void begin_request(const caller_session_ptr& self, const caller_exchange_ptr& of);
void write_due(const caller_session_ptr& self);

void finish_answer(const caller_session_ptr& self) {
    const auto exchange = self->open.front();
    exchange->is_over = true;
    touch(*self, true);
    if (!is_read_whole(*exchange) || !exchange->answer.keep_alive()) {
        self->open.pop_front();
        close_gently(self);
        return;
    }
    self->open.pop_front();
    if (!self->open.empty() && !self->open.front()->is_handed_over &&
        !self->open.front()->is_answered) {
        begin_request(self, self->open.front());
    }
    if (self->open.empty() || is_read_whole(*self->open.back())) {
        read_head(self);
    }
    // Posted, so that a caller that sends ahead does not deepen the stack.
    asio::post(self->executor, [self] { write_due(self); });
}

void write_piece(const caller_session_ptr& self, const caller_exchange_ptr& of,
                 waiting_piece next) {
    if (next.head) {
        fill_answer(*self, *of, *next.head, next.piece);
        of->serializer.emplace(of->answer);
    }
    of->outgoing = std::move(next.piece.bytes);
    auto& body = of->answer.body();
    body.data = of->outgoing.empty() ? nullptr : of->outgoing.data();
    body.size = of->outgoing.size();
    body.more = !next.piece.is_last;
    of->is_writing = true;
    touch(*self, true);
    http::async_write(self->socket, *of->serializer,
                      [self, of, is_last = next.piece.is_last,
                       done = std::move(next.done)](error_code failed, std::size_t /*bytes*/) {
                          of->is_writing = false;
                          if (self->open.empty() || self->open.front() != of) {
                              return;
                          }
                          if (failed && failed != http::error::need_buffer) {
                              close_session(self, caller_end::left);
                              return;
                          }
                          touch(*self, false);
                          if (is_last) {
                              finish_answer(self);
                          }
                          if (done) {
                              done();
                          }
                          if (!is_last) {
                              write_due(self);
                          }
                      });
}

/// Writes the next piece of the first answer when it is there.
void write_due(const caller_session_ptr& self) {
    if (self->open.empty()) {
        return;
    }
    const auto of = self->open.front();
    if (of->is_broken) {
        close_session(self, caller_end::left);
        return;
    }
    if (of->is_writing || of->waiting.empty()) {
        return;
    }
    auto next = std::move(of->waiting.front());
    of->waiting.pop_front();
    write_piece(self, of, std::move(next));
}

/// Answers a request that cannot be taken in; the connection closes after that.
void answer_fault(const caller_session_ptr& self, const caller_exchange_ptr& of, edge_fault fault,
                  unsigned status, std::string_view title) {
    self->listener->events.on_fault(fault);
    if (of->is_handed_over && !of->is_over) {
        self->listener->events.on_gone(of, caller_end::bad_request);
    }
    of->is_answered = true;
    of->is_last = true;
    of->on_piece = nullptr;
    queue_piece(of, make_fault_answer(status, title, !of->is_handed_over));
}

void on_bad_request(const caller_session_ptr& self, const caller_exchange_ptr& of,
                    error_code failed) {
    if (failed == http::error::header_limit) {
        answer_fault(self, of, edge_fault::header_too_large, 431, "header too large");
    } else if (failed == http::error::body_limit) {
        answer_fault(self, of, edge_fault::body_too_large, 413, "body too large");
    } else {
        answer_fault(self, of, edge_fault::broken_request, 400, "broken request");
    }
}

void on_first_piece(const caller_session_ptr& self, const caller_exchange_ptr& of,
                    body_piece first) {
    if (has_caller_left(*self)) {
        close_session(self, caller_end::left);
        return;
    }
    of->is_handed_over = true;
    auto head = take_head(*of);
    head.is_first_on_connection = !std::exchange(self->is_used, true);
    self->listener->events.on_request(of, std::move(head), std::move(first));
}

void continue_and_read(const caller_session_ptr& self, const caller_exchange_ptr& of) {
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(self->socket, asio::buffer(text), [self, of](error_code failed, std::size_t) {
        if (failed) {
            close_session(self, caller_end::left);
            return;
        }
        read_piece(self, of);
    });
}

void begin_request(const caller_session_ptr& self, const caller_exchange_ptr& of) {
    of->on_piece = [self, of](body_piece piece) { on_first_piece(self, of, std::move(piece)); };
    const bool expects_leave = !of->parser->get()[http::field::expect].empty();
    if (expects_leave && !of->parser->is_done()) {
        continue_and_read(self, of);
        return;
    }
    read_piece(self, of);
}

/// Whether a request may be worked on while those before it on the connection are.
bool may_overlap(const caller_session& self, const caller_exchange& of) {
    const auto& events = self.listener->events;
    return is_read_whole(of) && events.may_overlap && events.may_overlap(take_head(of)) &&
           std::all_of(self.open.begin(), self.open.end(), [](const caller_exchange_ptr& each) {
               return each->is_handed_over || each->is_answered;
           });
}

void on_head(const caller_session_ptr& self, error_code failed) {
    const auto exchange = std::exchange(self->next, nullptr);
    self->head_since.reset();
    if (!exchange || self->is_closing) {
        return;
    }
    if (self->is_head_late) {
        self->open.push_back(exchange);
        answer_fault(self, exchange, edge_fault::broken_request, 408, "request took too long");
        return;
    }
    if (failed && !is_request_fault(failed)) {
        close_session(self, caller_end::left);
        return;
    }
    const bool is_first = self->open.empty();
    const bool overlaps = !failed && !is_first && may_overlap(*self, *exchange);
    self->open.push_back(exchange);
    if (failed) {
        on_bad_request(self, exchange, failed);
        return;
    }
    touch(*self, false);
    if (is_first || overlaps) {
        begin_request(self, exchange);
    }
}

void hand_over_piece(const caller_session_ptr& self, const caller_exchange_ptr& of) {
    const bool is_last = of->parser->is_done();
    const auto done = std::exchange(of->on_piece, nullptr);
    body_piece piece{std::exchange(of->incoming, {}), is_last};
    touch(*self, false);
    if (is_last) {
        read_head(self);
    }
    if (done) {
        done(std::move(piece));
    }
}

void on_body_fault(const caller_session_ptr& self, const caller_exchange_ptr& of,
                   error_code failed) {
    if (is_request_fault(failed) && !of->is_answered) {
        on_bad_request(self, of, failed);
        return;
    }
    close_session(self, caller_end::left);
}

void read_some(const caller_session_ptr& self, const caller_exchange_ptr& of) {
    http::async_read_some(self->socket, self->buffer, *of->parser,
                          [self, of](error_code failed, std::size_t /*bytes*/) {
                              if (of->is_over || self->is_closing) {
                                  return;
                              }
                              if (failed && failed != http::error::need_buffer) {
                                  on_body_fault(self, of, failed);
                                  return;
                              }
                              touch(*self, true);
                              const auto room = of->parser->get().body().size;
                              if (!of->parser->is_done() && room > 0) {
                                  read_some(self, of);
                                  return;
                              }
                              const auto size = of->incoming.size() - room;
                              of->incoming = trim_piece(std::move(of->incoming), size);
                              hand_over_piece(self, of);
                          });
}

} // namespace

caller_session::caller_session(std::shared_ptr<caller_listener> of, caller_socket from)
    : listener(std::move(of)), socket(std::move(from)), executor(socket.get_executor()) {
    const std::lock_guard guard(listener->lock);
    listener->sessions.insert(this);
}

caller_session::~caller_session() {
    const std::lock_guard guard(listener->lock);
    listener->sessions.erase(this);
}

void read_head(const caller_session_ptr& self) {
    if (!self->socket.is_open() || self->is_closing || self->next ||
        self->open.size() >= max_pipelined) {
        return;
    }
    const auto limits = limits_of(*self);
    const auto next = std::make_shared<caller_exchange>(self);
    self->next = next;
    auto& parser = next->parser.emplace();
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    // A head at its bound and one read; a chunk's framing that is longer is refused.
    self->buffer.max_size(std::max<std::size_t>(limits.max_header_bytes, self->buffer.size()) +
                          piece_bytes);
    // The handler keeps the parser alive when the session drops it on closing.
    http::async_read_header(
        self->socket, self->buffer, parser,
        [self, next](error_code failed, std::size_t /*bytes*/) { on_head(self, failed); });
}

void read_piece(const caller_session_ptr& self, const caller_exchange_ptr& of) {
    auto& parser = *of->parser;
    if (parser.is_done()) {
        hand_over_piece(self, of);
        return;
    }
    const auto remaining = parser.content_length_remaining();
    const auto wanted = std::min<std::uint64_t>(remaining.value_or(piece_bytes), piece_bytes);
    of->incoming.resize(wanted);
    auto& body = parser.get().body();
    body.data = of->incoming.data();
    body.size = of->incoming.size();
    parser.eager(true);
    touch(*self, true);
    read_some(self, of);
}

void queue_piece(const caller_exchange_ptr& of, waiting_piece piece) {
    of->waiting.push_back(std::move(piece));
    write_due(of->owner);
}

void break_answer(const caller_exchange_ptr& of) {
    of->is_over = true;
    of->is_broken = true;
    of->waiting.clear();
    write_due(of->owner);
}

void close_session(const caller_session_ptr& self, caller_end cause) {
    self->is_closing = true;
    error_code ignored;
    self->socket.close(ignored);
    self->next.reset();
    drop_open(self, cause);
}

void check_silence(const caller_session_ptr& self, steady_instant now) {
    const auto limits = limits_of(*self);
    if (self->is_closing) {
        if (now - self->active_at > max_closing) {
            close_session(self, caller_end::left);
        }
        return;
    }
    if (self->next && self->open.empty()) {
        const bool has_begun = self->buffer.size() > 0 || self->next->parser->got_some();
        if (!has_begun && now - self->active_at > limits.idle_timeout + idle_margin) {
            close_session(self, caller_end::left);
        } else if (has_begun && !self->head_since) {
            self->head_since = now;
        } else if (has_begun && now - *self->head_since > limits.header_timeout) {
            self->is_head_late = true;
            error_code ignored;
            self->socket.cancel(ignored);
        }
        return;
    }
    if (self->is_waiting_for_caller && now - self->active_at > max_stall) {
        close_session(self, caller_end::stalled);
    }
}

} // namespace cyclamenhatch::edge
