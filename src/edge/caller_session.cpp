#include "edge/caller_session.h"

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

void touch(caller_session& of, bool is_waiting_for_caller) {
    of.active_at = std::chrono::steady_clock::now();
    of.is_waiting_for_caller = is_waiting_for_caller;
}

void discard_rest(const caller_session_ptr& self) {
    self->waste.resize(piece_bytes);
    self->socket.async_read_some(asio::buffer(self->waste),
                                 [self](error_code failed, std::size_t bytes) {
                                     self->discarded += bytes;
                                     if (failed || self->discarded > max_discarded_bytes) {
                                         close_session(self);
                                         return;
                                     }
                                     discard_rest(self);
                                 });
}

/// Closes once the caller had a chance to read the answer to a request that is not read whole.
void close_gently(const caller_session_ptr& self) {
    error_code failed;
    // A read of the body may be under way; its result is of no use now.
    self->socket.cancel(failed);
    self->socket.shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    if (failed) {
        close_session(self);
        return;
    }
    discard_rest(self);
}

void begin_request(const caller_session_ptr& self);
void on_bad_request(const caller_session_ptr& self, error_code failed);

void start_next(const caller_session_ptr& self, error_code failed) {
    self->current = std::exchange(self->next, nullptr);
    if (failed) {
        on_bad_request(self, failed);
        return;
    }
    begin_request(self);
}

void finish_answer(const caller_session_ptr& self) {
    const auto exchange = std::exchange(self->current, nullptr);
    exchange->is_over = true;
    touch(*self, true);
    if (!exchange->parser->is_done()) {
        close_gently(self);
        return;
    }
    if (!exchange->answer.keep_alive()) {
        close_session(self);
        return;
    }
    if (const auto result = std::exchange(self->next_result, std::nullopt)) {
        // Posted, so that a caller that sends ahead does not deepen the stack.
        asio::post(self->executor, [self, failed = *result] {
            if (self->next) {
                start_next(self, failed);
            }
        });
    }
}

bool has_no_body(unsigned status) {
    return status == 204 || status == 304 || status < 200;
}

/// States the body's length: known, as the upstream stated it, or in chunks.
void set_framing(caller_exchange& of, const answer_head& head, const body_piece& first) {
    if (has_no_body(head.status)) {
        return;
    }
    const std::string stated(find_header(head.headers, "content-length"));
    const bool is_head_request = of.parser->get().method() == http::verb::head;
    if (first.is_last && !(is_head_request && !stated.empty())) {
        of.answer.content_length(first.bytes.size());
    } else if (!stated.empty()) {
        of.answer.set(http::field::content_length, stated);
    } else {
        of.answer.chunked(true);
    }
}

void answer_fault(const caller_session_ptr& self, edge_fault fault, http::status status,
                  std::string_view title) {
    self->listener->events.on_fault(fault);
    const auto exchange = self->current;
    if (exchange->is_handed_over && !exchange->is_over) {
        self->listener->events.on_gone(exchange);
    }
    exchange->is_over = true;
    exchange->is_answered = true;
    exchange->on_piece = nullptr;
    auto& answer = exchange->answer;
    answer.version(11);
    answer.result(status);
    answer.set(http::field::content_type, "application/problem+json");
    if (!exchange->is_handed_over) {
        answer.set("cyclamenhatch-outcome", "not-run");
    }
    const std::string text = R"({"title":")" + std::string(title) + R"(","status":)" +
                             std::to_string(static_cast<unsigned>(status)) + "}";
    answer.content_length(text.size());
    answer.keep_alive(false);
    exchange->serializer.emplace(answer);
    write_answer(self, {body_bytes(text.begin(), text.end()), true}, nullptr);
}

void on_bad_request(const caller_session_ptr& self, error_code failed) {
    if (failed == http::error::header_limit) {
        answer_fault(self, edge_fault::header_too_large,
                     http::status::request_header_fields_too_large, "header too large");
    } else if (failed == http::error::body_limit) {
        answer_fault(self, edge_fault::body_too_large, http::status::payload_too_large,
                     "body too large");
    } else {
        answer_fault(self, edge_fault::broken_request, http::status::bad_request, "broken request");
    }
}

/// The bytes are no request, while the connection itself is whole.
bool is_request_fault(error_code failed) {
    static const auto& category = error_code(http::error::bad_method).category();
    return failed.category() == category && failed != http::error::end_of_stream &&
           failed != http::error::partial_message;
}

request_head take_head(const caller_exchange& of) {
    const auto& request = of.parser->get();
    request_head head{.method = std::string(request.method_string()),
                      .target = std::string(request.target()),
                      .headers = {}};
    for (const auto& each : request) {
        head.headers.push_back({std::string(each.name_string()), std::string(each.value())});
    }
    return head;
}

void on_first_piece(const caller_session_ptr& self, body_piece first) {
    const auto exchange = self->current;
    exchange->is_handed_over = true;
    self->listener->events.on_request(exchange, take_head(*exchange), std::move(first));
}

void continue_and_read(const caller_session_ptr& self) {
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(self->socket, asio::buffer(text), [self](error_code failed, std::size_t) {
        if (failed) {
            close_session(self);
            return;
        }
        read_piece(self);
    });
}

void begin_request(const caller_session_ptr& self) {
    const auto& exchange = self->current;
    exchange->on_piece = [self](body_piece piece) { on_first_piece(self, std::move(piece)); };
    const bool expects_leave = !exchange->parser->get()[http::field::expect].empty();
    if (expects_leave && !exchange->parser->is_done()) {
        continue_and_read(self);
        return;
    }
    read_piece(self);
}

void on_head(const caller_session_ptr& self, error_code failed) {
    if (!self->next || (failed && !is_request_fault(failed))) {
        close_session(self);
        return;
    }
    if (self->current) {
        self->next_result = failed;
        return;
    }
    touch(*self, false);
    start_next(self, failed);
}

void hand_over_piece(const caller_session_ptr& self) {
    const auto& exchange = self->current;
    const bool is_last = exchange->parser->is_done();
    const auto done = std::exchange(exchange->on_piece, nullptr);
    body_piece piece{std::exchange(exchange->incoming, {}), is_last};
    touch(*self, false);
    if (is_last) {
        read_head(self);
    }
    if (done) {
        done(std::move(piece));
    }
}

void on_body_fault(const caller_session_ptr& self, error_code failed) {
    if (is_request_fault(failed) && !self->current->is_answered) {
        on_bad_request(self, failed);
        return;
    }
    close_session(self);
}

void read_some(const caller_session_ptr& self) {
    const auto exchange = self->current;
    http::async_read_some(self->socket, self->buffer, *exchange->parser,
                          [self, exchange](error_code failed, std::size_t /*bytes*/) {
                              if (exchange != self->current) {
                                  return;
                              }
                              if (failed && failed != http::error::need_buffer) {
                                  on_body_fault(self, failed);
                                  return;
                              }
                              touch(*self, true);
                              const auto room = exchange->parser->get().body().size;
                              if (!exchange->parser->is_done() && room > 0) {
                                  read_some(self);
                                  return;
                              }
                              exchange->incoming.resize(exchange->incoming.size() - room);
                              hand_over_piece(self);
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
    if (!self->socket.is_open()) {
        return;
    }
    const auto next = std::make_shared<caller_exchange>(self);
    self->next = next;
    auto& parser = next->parser.emplace();
    parser.header_limit(self->listener->limits.max_header_bytes);
    parser.body_limit(self->listener->limits.max_body_bytes);
    // The handler keeps the parser alive when the session drops it on closing.
    http::async_read_header(
        self->socket, self->buffer, parser,
        [self, next](error_code failed, std::size_t /*bytes*/) { on_head(self, failed); });
}

void read_piece(const caller_session_ptr& self) {
    auto& exchange = *self->current;
    auto& parser = *exchange.parser;
    if (parser.is_done()) {
        hand_over_piece(self);
        return;
    }
    const auto remaining = parser.content_length_remaining();
    const auto wanted = remaining ? std::min<std::uint64_t>(*remaining, piece_bytes) : piece_bytes;
    exchange.incoming.resize(wanted);
    auto& body = parser.get().body();
    body.data = exchange.incoming.data();
    body.size = exchange.incoming.size();
    parser.eager(true);
    touch(*self, true);
    read_some(self);
}

void write_answer(const caller_session_ptr& self, body_piece piece, std::function<void()> done) {
    const auto exchange = self->current;
    exchange->outgoing = std::move(piece.bytes);
    auto& body = exchange->answer.body();
    body.data = exchange->outgoing.empty() ? nullptr : exchange->outgoing.data();
    body.size = exchange->outgoing.size();
    body.more = !piece.is_last;
    touch(*self, true);
    http::async_write(self->socket, *exchange->serializer,
                      [self, exchange, is_last = piece.is_last,
                       done = std::move(done)](error_code failed, std::size_t /*bytes*/) {
                          if (exchange != self->current) {
                              return;
                          }
                          if (failed && failed != http::error::need_buffer) {
                              close_session(self);
                              return;
                          }
                          touch(*self, false);
                          if (is_last) {
                              finish_answer(self);
                          }
                          if (done) {
                              done();
                          }
                      });
}

void close_session(const caller_session_ptr& self) {
    error_code ignored;
    self->socket.close(ignored);
    self->next.reset();
    const auto exchange = std::exchange(self->current, nullptr);
    if (!exchange) {
        return;
    }
    exchange->on_piece = nullptr;
    if (!std::exchange(exchange->is_over, true) && exchange->is_handed_over) {
        self->listener->events.on_gone(exchange);
    }
}

void fill_answer(caller_exchange& of, const answer_head& head, const body_piece& first) {
    auto& answer = of.answer;
    answer.version(of.parser->get().version());
    answer.result(head.status);
    for (const auto& each : head.headers) {
        if (!is_connection_header(each.name)) {
            answer.insert(each.name, each.value);
        }
    }
    set_framing(of, head, first);
    answer.keep_alive(of.parser->get().keep_alive() && of.parser->is_done() &&
                      !of.owner->listener->is_stopping);
}

} // namespace cyclamenhatch::edge
