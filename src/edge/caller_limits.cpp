#include "edge/caller_session.h"

#include <algorithm>

/// What callers may send, as the requests of a connection are held to it.
namespace cyclamenhatch::edge {

namespace {

/// Widens the limit of a body that is being read. One with a length was judged at the end of its
/// head.
void widen_body(caller_exchange& exchange, std::uint64_t max_body_bytes) {
    if (max_body_bytes <= exchange.limits.max_body_bytes) {
        return;
    }
    exchange.limits.max_body_bytes = max_body_bytes;
    if (exchange.parser->chunked() && !exchange.parser->is_done()) {
        // The parser counts down what is left. A piece that is being filled is not yet counted.
        const auto filled = exchange.incoming.empty()
                                ? 0
                                : exchange.incoming.size() - exchange.parser->get().body().size;
        exchange.parser->body_limit(max_body_bytes - exchange.received_bytes - filled);
    }
}

} // namespace

listener_limits limits_of(const caller_session& session) {
    const std::lock_guard guard(session.listener->lock);
    return session.listener->limits;
}

bool has_begun_head(const caller_session& session) {
    return session.buffer.size() > 0 || session.next->parser->got_some();
}

void limit_head(caller_session& session, caller_exchange& exchange) {
    exchange.parser->header_limit(exchange.limits.max_header_bytes);
    exchange.parser->body_limit(exchange.limits.max_body_bytes);
    // A head at its limit and one more read; chunk framing that is longer is refused.
    session.buffer.max_size(
        std::max<std::size_t>(exchange.limits.max_header_bytes, session.buffer.size()) +
        piece_bytes);
}

void apply_limits(const caller_session_ptr& self) {
    const auto limits = limits_of(*self);
    for (const auto& exchange : self->open) {
        widen_body(*exchange, limits.max_body_bytes);
    }
    if (!self->next) {
        return;
    }
    auto& kept = self->next->limits;
    if (has_begun_head(*self)) {
        kept.max_header_bytes = std::max(kept.max_header_bytes, limits.max_header_bytes);
        kept.max_body_bytes = std::max(kept.max_body_bytes, limits.max_body_bytes);
    } else {
        kept = limits;
    }
    limit_head(*self, *self->next);
}

} // namespace cyclamenhatch::edge
