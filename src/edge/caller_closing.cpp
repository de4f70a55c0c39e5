#include "edge/caller_session.h"

#include <boost/asio/post.hpp>

#include <utility>

/// How the connections of callers end.
namespace cyclamenhatch::edge {

using boost::system::error_code;

namespace {

/// How long the caller may take to close its side after the last answer.
constexpr std::chrono::seconds lingering_close_timeout{2};
/// A caller that neither sends the rest of its request nor takes its answer for this long is
/// disconnected.
constexpr std::chrono::seconds stall_timeout{30};
/// Added to the stated idle timeout, so that a request sent at the last moment does not cross the
/// close.
constexpr std::chrono::milliseconds idle_margin{1000};

/// The id that the request states; empty when it states none or its head was not read.
std::string request_id_of(const caller_session& session, const caller_exchange_ptr& exchange) {
    const auto& name = session.listener->events.request_id_header;
    if (!exchange || !exchange->parser || name.empty()) {
        return {};
    }
    return std::string(exchange->parser->get()[name]);
}

} // namespace

void drop_exchanges(const caller_session_ptr& self, disconnect_cause cause) {
    for (const auto& exchange : std::exchange(self->open, {})) {
        exchange->on_piece = nullptr;
        exchange->waiting_pieces.clear();
        if (!std::exchange(exchange->is_over, true) && exchange->is_handed_over) {
            self->listener->events.on_disconnect(exchange, cause);
        }
    }
}

void close_session(const caller_session_ptr& self, disconnect_cause cause) {
    self->is_closing = true;
    error_code ignored;
    self->socket.close(ignored);
    self->next.reset();
    drop_exchanges(self, cause);
}

void end_faulty(const caller_session_ptr& self, const caller_exchange_ptr& exchange,
                const std::string& reason) {
    self->is_faulty = true;
    self->is_closing = true;
    error_code ignored;
    self->socket.close(ignored);
    const auto& events = self->listener->events;
    if (events.on_exception) {
        events.on_exception(request_id_of(*self, exchange), reason);
    }
    // Posted: the call path may be running below this handler.
    asio::post(self->executor, [self] { close_session(self, disconnect_cause::handler_failed); });
}

void check_silence(const caller_session_ptr& self, steady_instant now) {
    const auto limits = limits_of(*self);
    if (self->is_closing) {
        if (now - self->active_at > lingering_close_timeout) {
            close_session(self, disconnect_cause::caller_left);
        }
        return;
    }
    if (self->next && self->open.empty()) {
        const bool has_begun = has_begun_head(*self);
        if (!has_begun && now - self->active_at > limits.idle_timeout + idle_margin) {
            close_session(self, disconnect_cause::caller_left);
        } else if (has_begun && !self->head_started_at) {
            self->head_started_at = now;
        } else if (has_begun && now - *self->head_started_at > limits.header_timeout) {
            self->is_head_late = true;
            error_code ignored;
            self->socket.cancel(ignored);
        }
        return;
    }
    if (self->is_waiting_for_caller && now - self->active_at > stall_timeout) {
        close_session(self, disconnect_cause::caller_stalled);
    }
}

} // namespace cyclamenhatch::edge
