#include "edge/caller_answer.h"

#include "edge/answer_length.h"

namespace cyclamenhatch::edge {
namespace {

/// Sets the framing: the length that the upstream stated, else that of a body in one piece, else
/// chunked. Precondition: the first piece fits the stated length.
void set_framing(caller_exchange& exchange, const answer_head& head, const body_piece& first) {
    if (is_bodiless_status(head.status)) {
        return;
    }
    const std::string method(exchange.parser->get().method_string());
    const auto length = find_answer_length(head.status, method, head.headers);
    if (length.stated) {
        exchange.answer.content_length(*length.stated);
    } else if (first.is_last) {
        exchange.answer.content_length(first.bytes.size());
    } else {
        exchange.answer.chunked(true);
    }
}

} // namespace

waiting_piece make_fault_answer(unsigned status, std::string_view title, bool is_not_run) {
    answer_head head{.status = status, .headers = {}};
    head.headers.push_back({"Content-Type", "application/problem+json"});
    if (is_not_run) {
        head.headers.push_back({"cyclamenhatch-outcome", "not-run"});
    }
    const std::string text =
        R"({"title":")" + std::string(title) + R"(","status":)" + std::to_string(status) + "}";
    return {.head = std::move(head),
            .piece = {body_bytes(text.begin(), text.end()), true},
            .on_done = nullptr};
}

bool is_read_whole(const caller_exchange& exchange) {
    return exchange.parser && exchange.parser->is_done();
}

void fill_answer(const caller_session& session, caller_exchange& exchange, const answer_head& head,
                 const body_piece& first) {
    auto& answer = exchange.answer;
    answer.version(exchange.parser->get().version());
    answer.result(head.status);
    for (const auto& header : head.headers) {
        if (!is_connection_header(header.name)) {
            answer.insert(header.name, header.value);
        }
    }
    set_framing(exchange, head, first);
    // Pipelined requests behind this one still get their answers on this connection.
    const bool must_close = session.listener->is_draining || session.listener->is_stopping;
    answer.keep_alive(exchange.parser->get().keep_alive() && is_read_whole(exchange) &&
                      !exchange.is_last && !(must_close && session.open.size() == 1));
}

} // namespace cyclamenhatch::edge
