#include "edge/gate_bodies.h"

#include "call/call_key.h"
#include "clock/process_clock.h"
#include "edge/gate_log.h"
#include "model/handler_guard.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

/// Undelivered answers are kept for their entry for this long: twice the time for which an entry
/// asks for them.
constexpr microseconds delivery_timeout{10'000'000};

using lock_type = state_lock;

/// Credit that reports how much of the request's body the upstream has taken. Precondition: the
/// lock is held.
msg::call_credit_msg make_credit(const gate_flow& flow) {
    msg::call_credit_msg credit;
    credit.call = call::make_key(flow.call);
    credit.taken = flow.uploaded_bytes;
    return credit;
}

/// Credit that asks the entry to resend lost pieces of the request's body. Precondition: as for
/// make_credit.
msg::call_credit_msg make_resend(const gate_flow& flow) {
    auto credit = make_credit(flow);
    credit.resend = true;
    credit.received = flow.upload.offset;
    return credit;
}

/// Writes the next waiting piece of the request's body, if there is one.
void continue_upload(gate_side& side, const gate_flow_ptr& flow) {
    lock_type guard(side.lock);
    flow->is_writing = !flow->waiting_pieces.empty();
    if (!flow->is_writing) {
        return;
    }
    auto piece = std::move(flow->waiting_pieces.front());
    flow->waiting_pieces.pop_front();
    flow->progressed_at = current_time();
    const auto exchange = flow->exchange;
    guard.unlock();
    const auto bytes = piece.bytes.size();
    const bool is_last = piece.is_last;
    write_body(exchange, std::move(piece), [&side, flow, bytes, is_last] {
        lock_type callback_guard(side.lock);
        flow->uploaded_bytes += bytes;
        auto credit = make_credit(*flow);
        const auto entry = flow->entry;
        callback_guard.unlock();
        if (!is_last) {
            side.send_to_entry(entry, std::move(credit));
        }
        continue_upload(side, flow);
    });
}

/// Whether the next piece of an answer may be sent now. One piece of each answer always may, so
/// that a slow or dead entry delays only its own answers. Precondition: the lock is held.
bool has_room_on_link(const gate_side& side, const gate_flow& flow) {
    if (flow.entry == side.self || call::bytes_in_flight(flow.download) == 0) {
        return true;
    }
    std::uint64_t in_flight = 0;
    for (const auto* calls : {&side.flows, &side.undelivered}) {
        for (const auto& [call, other] : *calls) {
            in_flight += other->entry == side.self ? 0 : call::bytes_in_flight(other->download);
        }
    }
    return in_flight < side.link_window;
}

/// Keeps the unacknowledged rest of an answer that has ended at the upstream. Precondition: the
/// lock is held.
void keep_undelivered(gate_side& side, const gate_flow_ptr& flow) {
    side.undelivered.emplace(flow->call, flow);
    flow->exchange.reset();
    flow->request = {};
}

} // namespace

void on_piece(gate_side& side, const gate_flow_ptr& flow, body_piece piece) {
    lock_type guard(side.lock);
    flow->progressed_at = current_time();
    flow->is_reading = false;
    const auto bytes = flow->download.offset + piece.bytes.size();
    if (is_mismatch(fit_body(flow->length, bytes, piece.is_last))) {
        guard.unlock();
        end_mismatched(side, flow, bytes, piece.is_last);
        return;
    }
    auto data = call::make_data(
        flow->call, call::add_piece(flow->download, std::move(piece.bytes), piece.is_last));
    const auto entry = flow->entry;
    if (piece.is_last) {
        keep_undelivered(side, flow);
    }
    guard.unlock();
    side.send_to_entry(entry, std::move(data));
    if (piece.is_last) {
        end_call(side, flow->call,
                 {.is_answered = true,
                  .has_run_well = flow->is_good_run,
                  .latency = flow->upstream_time});
        return;
    }
    read_download(side, flow);
}

void end_mismatched(gate_side& side, const gate_flow_ptr& flow, std::uint64_t bytes,
                    bool is_ended) {
    ++side.length_mismatches;
    log_mismatch(side, *flow, bytes);
    if (!is_ended) {
        abort_exchange(flow->exchange);
    }
    end_call(side, flow->call, {});
}

namespace {

/// The messages to resend to the entry of a call whose link was lost. Precondition: the lock is
/// held.
std::vector<peer_message> find_missing(gate_flow& flow, const msg::call_open_msg& request) {
    std::vector<peer_message> missing;
    if (flow.exchange && !flow.upload.is_whole) {
        missing.emplace_back(make_resend(flow));
    }
    if (!flow.is_answering) {
        return missing;
    }
    if (request.has_head) {
        flow.head.reset();
    } else if (flow.head) {
        missing.emplace_back(msg::call_answer_msg(*flow.head));
    }
    call::note_arrived(flow.download, request.received);
    for (const auto& piece : call::missing_pieces(flow.download, request.received)) {
        missing.emplace_back(call::make_data(flow.call, piece));
    }
    return missing;
}

/// Credit that confirms to a reattaching entry that its call waits or runs here.
msg::call_credit_msg make_under_way(const call_id& call) {
    msg::call_credit_msg credit;
    credit.call = call::make_key(call);
    credit.under_way = true;
    return credit;
}

} // namespace

void begin_upload(gate_side& side, const gate_flow_ptr& flow) {
    lock_type guard(side.lock);
    flow->uploaded_bytes = flow->upload.offset;
    auto credit = make_credit(*flow);
    const auto entry = flow->entry;
    guard.unlock();
    side.send_to_entry(entry, std::move(credit));
    continue_upload(side, flow);
}

void read_download(gate_side& side, const gate_flow_ptr& flow) {
    lock_type guard(side.lock);
    if (flow->is_reading || !flow->exchange || !call::has_room(flow->download)) {
        return;
    }
    if (!has_room_on_link(side, *flow)) {
        if (!std::exchange(flow->is_held_back, true)) {
            side.held_back.push_back(flow);
        }
        return;
    }
    flow->is_reading = true;
    const auto exchange = flow->exchange;
    guard.unlock();
    read_body(exchange,
              [&side, flow](body_piece piece) { on_piece(side, flow, std::move(piece)); });
}

void read_held_back(gate_side& side) {
    lock_type guard(side.lock);
    while (!side.held_back.empty() && has_room_on_link(side, *side.held_back.front())) {
        const auto flow = side.held_back.front();
        side.held_back.pop_front();
        flow->is_held_back = false;
        guard.unlock();
        read_download(side, flow);
        guard.lock();
    }
}

bool resend_lost(gate_side& side, const node_id& sender, const msg::call_open_msg& request) {
    lock_type guard(side.lock);
    const auto call = call::from_key(request.call.get());
    const auto running = side.flows.find(call);
    const auto ended = side.undelivered.find(call);
    if (running == side.flows.end() && ended == side.undelivered.end()) {
        return false;
    }
    const auto flow = ended != side.undelivered.end() ? ended->second : running->second;
    flow->entry = sender;
    auto messages = find_missing(*flow, request);
    const bool has_ended = ended != side.undelivered.end();
    if (has_ended) {
        flow->progressed_at = current_time();
    }
    messages.emplace_back(make_under_way(call));
    guard.unlock();
    for (auto& message : messages) {
        side.send_to_entry(sender, std::move(message));
    }
    return has_ended;
}

std::vector<dropped_answer> trim_undelivered(gate_side& side, instant now) {
    std::vector<dropped_answer> dropped;
    std::erase_if(side.undelivered, [&](const auto& item) {
        const bool is_late = now > item.second->progressed_at + delivery_timeout;
        if (is_late) {
            dropped.push_back({item.second, "timeout"});
        }
        return is_late;
    });
    std::uint64_t bytes = 0;
    for (const auto& [call, flow] : side.undelivered) {
        bytes += call::kept_memory(flow->download);
    }
    while (bytes > side.gate.settings.memory.max_answer_bytes) {
        const auto oldest =
            std::min_element(side.undelivered.begin(), side.undelivered.end(),
                             [](const auto& left, const auto& right) {
                                 return left.second->progressed_at < right.second->progressed_at;
                             });
        bytes -= call::kept_memory(oldest->second->download);
        dropped.push_back({oldest->second, "memory"});
        side.undelivered.erase(oldest);
    }
    return dropped;
}

bool on_data(gate_side& side, msg::call_data_msg& message) {
    lock_type guard(side.lock);
    const auto it = side.flows.find(call::from_key(message.call.get()));
    if (it == side.flows.end()) {
        return false;
    }
    const auto flow = it->second;
    if (!flow->exchange) {
        return true;
    }
    const auto fit =
        call::receive_piece(flow->upload, message.offset, message.body.size(), message.last);
    if (fit == call::piece_fit::repeated || fit == call::piece_fit::overlap) {
        return true;
    }
    if (fit == call::piece_fit::gap) {
        // All pieces after the missing one show the same gap; one resend request is enough.
        if (std::exchange(flow->is_resend_requested, true)) {
            return true;
        }
        auto credit = make_resend(*flow);
        const auto entry = flow->entry;
        guard.unlock();
        side.send_to_entry(entry, std::move(credit));
        return true;
    }
    flow->is_resend_requested = false;
    flow->waiting_pieces.push_back({std::move(message.body), message.last});
    const bool must_start = !std::exchange(flow->is_writing, true);
    guard.unlock();
    if (must_start) {
        continue_upload(side, flow);
    }
    return true;
}

bool on_credit(gate_side& side, const msg::call_credit_msg& message) {
    lock_type guard(side.lock);
    const auto call = call::from_key(message.call.get());
    const auto ended = side.undelivered.find(call);
    if (ended != side.undelivered.end()) {
        auto& download = ended->second->download;
        call::note_arrived(download, message.received);
        call::note_taken(download, message.taken, message.whole);
        ended->second->progressed_at = current_time();
        if (call::is_taken_whole(download)) {
            side.undelivered.erase(ended);
        }
        guard.unlock();
        read_held_back(side);
        return true;
    }
    const auto it = side.flows.find(call);
    if (it == side.flows.end()) {
        return false;
    }
    const auto flow = it->second;
    if (!flow->is_answering) {
        return true;
    }
    flow->head.reset();
    call::note_arrived(flow->download, message.received);
    call::note_taken(flow->download, message.taken, message.whole);
    guard.unlock();
    read_download(side, flow);
    read_held_back(side);
    return true;
}

} // namespace cyclamenhatch::edge
