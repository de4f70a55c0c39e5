#include "edge/caller_answer.h"

namespace cyclamenhatch::edge {
namespace {

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
            .done = nullptr};
}

bool is_read_whole(const caller_exchange& of) {
    return of.parser && of.parser->is_done();
}

void fill_answer(const caller_session& session, caller_exchange& of, const answer_head& head,
                 const body_piece& first) {
    auto& answer = of.answer;
    answer.version(of.parser->get().version());
    answer.result(head.status);
    for (const auto& each : head.headers) {
        if (!is_connection_header(each.name)) {
            answer.insert(each.name, each.value);
        }
    }
    set_framing(of, head, first);
    // Requests behind this one that are under way still get their answers on this connection.
    const bool is_draining = session.listener->is_draining && session.open.size() == 1;
    answer.keep_alive(of.parser->get().keep_alive() && is_read_whole(of) && !of.is_last &&
                      !is_draining && !session.listener->is_stopping);
}

} // namespace cyclamenhatch::edge
