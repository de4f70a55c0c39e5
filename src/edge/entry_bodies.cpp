#include "edge/entry_side.h"

#include "call/call_key.h"
#include "edge/entry_steps.h"

#include <utility>
#include <vector>

/// Forwards the bodies of calls between callers and gates.
namespace cyclamenhatch::edge {
namespace {

using lock_type = state_lock;

void read_upload(entry_side& side, const entry_flow_ptr& flow);

/// Forwards a further piece of the request's body to the gate.
void on_upload_piece(entry_side& side, const entry_flow_ptr& flow, body_piece piece) {
    lock_type guard(side.lock);
    flow->is_reading = false;
    if (!flow->state.current) {
        return;
    }
    const auto target = flow->state.current->target;
    auto data = call::make_data(
        target.call, call::add_piece(flow->upload, std::move(piece.bytes), piece.is_last));
    guard.unlock();
    side.send_to_gate(target.node, target.address, std::move(data));
    read_upload(side, flow);
}

/// Reads the next piece of the request's body if the gate has room for it.
void read_upload(entry_side& side, const entry_flow_ptr& flow) {
    lock_type guard(side.lock);
    if (flow->is_reading || !flow->may_upload || !call::has_room(flow->upload) ||
        flow->state.is_over) {
        return;
    }
    flow->is_reading = true;
    // Pieces read from here on are not kept, so no further attempt could send the whole body.
    flow->state.max_attempts = flow->state.arrivals + 1;
    guard.unlock();
    read_body(flow->exchange,
              [&side, flow](body_piece piece) { on_upload_piece(side, flow, std::move(piece)); });
}

} // namespace

void end_mismatched(entry_side& side, const entry_flow_ptr& flow, std::uint64_t bytes,
                    lock_type& guard) {
    ++side.counters.length_mismatches;
    const auto target = flow->state.current->target;
    const log_event event{log_level::warning,
                          "answer_length_mismatch",
                          {{"request", flow->request_id},
                           {"service", flow->service.value},
                           {"place", "entry"},
                           {"stated", stated_text(flow->length)},
                           {"passed", std::to_string(bytes)},
                           {"node", target.node.value}}};
    auto result = step(side, flow, call::broken_answer_event{target.call});
    guard.unlock();
    log_call(side, event);
    perform(side, flow, std::move(result), nullptr);
}

void on_data(entry_side& side, const node_id& sender, msg::call_data_msg message) {
    lock_type guard(side.lock);
    const auto call = call::from_key(message.call.get());
    const auto flow = find_attempt(side, sender, call);
    if (!flow) {
        return;
    }
    const auto fit =
        flow->state.is_answering
            ? call::receive_piece(flow->download, message.offset, message.body.size(), message.last)
            : call::piece_fit::gap;
    if (fit == call::piece_fit::repeated) {
        ++side.counters.dropped_messages;
        return;
    }
    if (fit == call::piece_fit::gap) {
        auto result = step(side, flow, call::piece_missing_event{call});
        guard.unlock();
        perform(side, flow, std::move(result), nullptr);
        return;
    }
    if (fit == call::piece_fit::overlap ||
        is_mismatch(fit_body(flow->length, flow->download.offset, message.last))) {
        end_mismatched(side, flow, flow->download.offset, guard);
        return;
    }
    flow->waiting_pieces.push_back({std::move(message.body), message.last});
    // A piece that is written at once is acknowledged when the caller has taken it. The last piece
    // is acknowledged now, since the gate need not keep a body that has arrived whole.
    const bool must_wait = flow->is_writing || message.last;
    auto result = message.last ? step(side, flow, call::answer_end_event{call})
                               : step(side, flow, call::piece_event{call});
    guard.unlock();
    if (must_wait) {
        send_credit(side, flow);
    }
    perform(side, flow, std::move(result), nullptr);
    write_download(side, flow);
}

void on_credit(entry_side& side, const node_id& sender, const msg::call_credit_msg& message) {
    lock_type guard(side.lock);
    const auto flow = find_attempt(side, sender, call::from_key(message.call.get()));
    if (!flow) {
        return;
    }
    if (message.under_way) {
        auto result = step(side, flow, call::under_way_event{call::from_key(message.call.get())});
        guard.unlock();
        perform(side, flow, std::move(result), nullptr);
        return;
    }
    flow->may_upload = true;
    call::note_taken(flow->upload, message.taken, message.whole);
    const auto missing = message.resend ? call::missing_pieces(flow->upload, message.received)
                                        : std::vector<call::sent_piece>{};
    const auto target = flow->state.current->target;
    guard.unlock();
    for (const auto& piece : missing) {
        side.send_to_gate(target.node, target.address, call::make_data(target.call, piece));
    }
    read_upload(side, flow);
}

} // namespace cyclamenhatch::edge
