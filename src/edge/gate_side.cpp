#include "edge/gate_side.h"

#include "call/call_key.h"
#include "clock/process_clock.h"
#include "edge/call_headers.h"
#include "edge/upstream_connection.h"
#include "edge/upstream_words.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

/// A call whose entry does not cancel it is broken off this long after its deadline.
constexpr microseconds overdue_grace{250'000};
/// A body that does not move for this long is broken off.
constexpr microseconds max_stall{30'000'000};
/// The end of an answer is kept for its entry for this long: twice the time for which an entry asks
/// for it.
constexpr microseconds delivery_timeout{10'000'000};
constexpr unsigned overloaded_status = 503;
/// A call that must not run twice is sent on a connection that was in use a moment ago, or on a new
/// one: the upstream may have forgotten one that was idle for longer, and nobody could tell then
/// whether the call ran.
constexpr milliseconds fresh_idle{500};
constexpr milliseconds any_idle{60'000};

using lock_type = std::unique_lock<std::mutex>;

void perform(gate_side& side, call::gate_actions actions);

/// Ends a call at the gate and does what follows from that.
void end_call(gate_side& side, const call_id& call, const call::upstream_end& end) {
    lock_type guard(side.lock);
    auto actions = call::on_upstream_end(side.gate, call, end, current_time());
    guard.unlock();
    perform(side, std::move(actions));
}

/// Tells the entry how much of the request's body the upstream has taken. Precondition: the lock is
/// held.
msg::call_credit_msg make_credit(const gate_flow& flow) {
    msg::call_credit_msg credit;
    credit.call = call::make_key(flow.call);
    credit.taken = flow.uploaded;
    return credit;
}

/// Has the entry send again what was lost of the request's body. Precondition: as for make_credit.
msg::call_credit_msg make_resend(const gate_flow& flow) {
    auto credit = make_credit(flow);
    credit.resend = true;
    credit.received = flow.upload.offset;
    return credit;
}

/// Writes the next waiting piece of the request's body, when there is one.
void continue_upload(gate_side& side, const gate_flow_ptr& flow) {
    lock_type guard(side.lock);
    flow->is_writing = !flow->waiting.empty();
    if (!flow->is_writing) {
        return;
    }
    auto piece = std::move(flow->waiting.front());
    flow->waiting.pop_front();
    flow->progressed_at = current_time();
    const auto exchange = flow->exchange;
    guard.unlock();
    const auto bytes = piece.bytes.size();
    const bool is_last = piece.is_last;
    write_body(exchange, std::move(piece), [&side, flow, bytes, is_last] {
        lock_type held(side.lock);
        flow->uploaded += bytes;
        auto credit = make_credit(*flow);
        const auto entry = flow->entry;
        held.unlock();
        if (!is_last) {
            side.to_entry(entry, std::move(credit));
        }
        continue_upload(side, flow);
    });
}

/// The upstream has the head and the first piece: the entry may send the rest of the body.
void begin_upload(gate_side& side, const gate_flow_ptr& flow) {
    lock_type guard(side.lock);
    flow->uploaded = flow->upload.offset;
    auto credit = make_credit(*flow);
    const auto entry = flow->entry;
    guard.unlock();
    side.to_entry(entry, std::move(credit));
    continue_upload(side, flow);
}

void read_on(gate_side& side, const gate_flow_ptr& flow);

/// Keeps what the entry is not known to have of an answer that ends here. Precondition: the lock is
/// held.
void keep_undelivered(gate_side& side, const gate_flow_ptr& flow) {
    side.undelivered.emplace(flow->call, flow);
    flow->exchange.reset();
    flow->request = {};
}

/// Passes a further piece of the answer on.
void on_piece(gate_side& side, const gate_flow_ptr& flow, body_piece piece) {
    lock_type guard(side.lock);
    flow->progressed_at = current_time();
    flow->is_reading = false;
    auto data = call::make_data(
        flow->call, call::add_piece(flow->download, std::move(piece.bytes), piece.is_last));
    const auto entry = flow->entry;
    if (piece.is_last) {
        keep_undelivered(side, flow);
    }
    guard.unlock();
    side.to_entry(entry, std::move(data));
    if (piece.is_last) {
        end_call(side, flow->call, {.is_answered = true, .latency = flow->upstream_time});
        return;
    }
    read_on(side, flow);
}

/// Reads the next piece of the answer while the entry is ready to take it.
void read_on(gate_side& side, const gate_flow_ptr& flow) {
    lock_type guard(side.lock);
    if (flow->is_reading || !flow->exchange || !call::has_room(flow->download)) {
        return;
    }
    flow->is_reading = true;
    const auto exchange = flow->exchange;
    guard.unlock();
    read_body(exchange,
              [&side, flow](body_piece piece) { on_piece(side, flow, std::move(piece)); });
}

std::shared_ptr<msg::call_answer_msg> make_answer(const gate_side& side, const gate_flow& flow,
                                                  answer_head head, body_piece piece) {
    const auto load = call::current_load(side.gate, flow.call, current_time());
    auto answer = std::make_shared<msg::call_answer_msg>();
    answer->call = call::make_key(flow.call);
    answer->status = static_cast<std::uint16_t>(head.status);
    answer->headers = to_wire(side.names, std::move(head.headers));
    answer->body = std::move(piece.bytes);
    answer->last = piece.is_last;
    answer->in_flight = load.in_flight;
    answer->queue = load.queue;
    answer->slots = load.slots;
    answer->wait_us = load.wait_us;
    answer->gate_us = static_cast<std::uint32_t>(flow.queue_time.count());
    answer->upstream_us = static_cast<std::uint32_t>(flow.upstream_time.count());
    answer->gate_instance = side.gate.instance;
    return answer;
}

void end_not_run(gate_side& side, const gate_flow_ptr& flow, msg::refusal_reason reason,
                 bool is_whole) {
    if (!is_whole) {
        abort_exchange(flow->exchange);
    }
    if (reason == msg::refusal_reason::wrong_instance) {
        // The upstream that announced itself is gone; the next one has to announce itself first.
        const std::lock_guard guard(side.lock);
        side.gate.upstream = msg::upstream_state::none;
    }
    end_call(side, flow->call, {.is_not_run = true, .not_run_reason = reason});
}

void on_answer(gate_side& side, const gate_flow_ptr& flow, answer_head head, body_piece piece) {
    if (const auto reason = find_not_run(side.names, head)) {
        end_not_run(side, flow, *reason, piece.is_last);
        return;
    }
    lock_type guard(side.lock);
    const auto now = current_time();
    flow->upstream_time = now - flow->started_at;
    flow->progressed_at = now;
    side.histograms.record(segment::upstream, flow->upstream_time);
    const bool is_whole = piece.is_last;
    const bool is_overload = head.status == overloaded_status;
    auto answer = make_answer(side, *flow, std::move(head), std::move(piece));
    if (is_whole) {
        guard.unlock();
        end_call(side, flow->call,
                 {.answer = std::move(answer),
                  .is_answered = true,
                  .is_overload = is_overload,
                  .latency = flow->upstream_time});
        return;
    }
    flow->is_answering = true;
    flow->download.offset = answer->body.size();
    flow->head = std::make_unique<msg::call_answer_msg>(*answer);
    const auto entry = flow->entry;
    guard.unlock();
    side.to_entry(entry, std::move(*answer));
    read_on(side, flow);
}

void run(gate_side& side, const call_id& call) {
    lock_type guard(side.lock);
    const auto found = side.flows.find(call);
    if (found == side.flows.end()) {
        return;
    }
    const auto flow = found->second;
    const auto now = current_time();
    flow->started_at = now;
    flow->progressed_at = now;
    flow->queue_time = now - flow->received_at;
    flow->exchange =
        prepare_exchange(side.client, flow->request.idempotent ? any_idle : fresh_idle);
    flow->is_writing = !flow->request.last;
    const auto left = std::max(microseconds{0}, flow->deadline - now);
    auto head = make_upstream_head(side.names, side.instance, flow->request, left);
    body_piece first{std::move(flow->request.body), flow->request.last};
    flow->upload = {.offset = first.bytes.size(), .is_whole = first.is_last};
    const auto exchange = flow->exchange;
    guard.unlock();
    side.histograms.record(segment::gate_queue, flow->queue_time);
    upstream_events events;
    events.on_answer = [&side, flow](answer_head answer, body_piece piece) {
        on_answer(side, flow, std::move(answer), std::move(piece));
    };
    events.on_failure = [&side, flow](bool is_not_run) {
        end_call(side, flow->call, {.is_not_run = is_not_run});
    };
    events.on_taken = [&side, flow] { begin_upload(side, flow); };
    auto match = make_match(side.names, head);
    send_request(exchange, std::move(head), std::move(first), std::move(match), std::move(events));
}

void release(gate_side& side, const call_id& call, bool is_abort) {
    lock_type guard(side.lock);
    const auto found = side.flows.find(call);
    if (found == side.flows.end()) {
        return;
    }
    const auto flow = found->second;
    if (!is_abort) {
        side.flows.erase(found);
    }
    const auto exchange = flow->exchange;
    guard.unlock();
    if (is_abort && exchange) {
        abort_exchange(exchange);
    }
}

void perform_one(gate_side& side, call::gate_action& action) {
    if (const auto* to_run = std::get_if<call::run_action>(&action)) {
        // Posted: a node that is behind with its work finds the cancel of a call whose caller has
        // left in the same batch of messages, and such a call must not reach the upstream.
        boost::asio::post(side.client->io, [&side, call = to_run->call] { run(side, call); });
    } else if (const auto* to_abort = std::get_if<call::abort_action>(&action)) {
        release(side, to_abort->call, true);
    } else if (const auto* to_release = std::get_if<call::release_action>(&action)) {
        release(side, to_release->call, false);
    } else if (const auto* answer = std::get_if<call::tell_answer_action>(&action)) {
        side.to_entry(answer->to, msg::call_answer_msg(*answer->answer));
    } else if (auto* refusal = std::get_if<call::tell_refusal_action>(&action)) {
        side.to_entry(refusal->to, std::move(refusal->refused));
    }
}

void perform(gate_side& side, call::gate_actions actions) {
    for (auto& each : actions) {
        perform_one(side, each);
    }
}

/// Forgets answers whose entry has not asked for the rest in time, and the oldest beyond the bound.
/// Precondition: the lock is held.
void trim_undelivered(gate_side& side, instant now) {
    std::erase_if(side.undelivered, [now](const auto& each) {
        return now > each.second->progressed_at + delivery_timeout;
    });
    std::uint64_t bytes = 0;
    for (const auto& [call, flow] : side.undelivered) {
        bytes += call::kept_bytes(flow->download);
    }
    while (bytes > side.gate.settings.memory.max_answer_bytes) {
        const auto oldest =
            std::min_element(side.undelivered.begin(), side.undelivered.end(),
                             [](const auto& left, const auto& right) {
                                 return left.second->progressed_at < right.second->progressed_at;
                             });
        bytes -= call::kept_bytes(oldest->second->download);
        side.undelivered.erase(oldest);
    }
}

/// What the entry lacks of a call whose link was lost. Precondition: the lock is held.
std::vector<peer_message> find_lost(gate_flow& flow, const msg::call_open_msg& asked) {
    std::vector<peer_message> lost;
    if (flow.exchange && !flow.upload.is_whole) {
        lost.emplace_back(make_resend(flow));
    }
    if (!flow.is_answering) {
        return lost;
    }
    if (asked.has_head) {
        flow.head.reset();
    } else if (flow.head) {
        lost.emplace_back(msg::call_answer_msg(*flow.head));
    }
    for (const auto& each : call::missing_pieces(flow.download, asked.received)) {
        lost.emplace_back(call::make_data(flow.call, each));
    }
    return lost;
}

/// Sends again what a lost link took with it. Returns whether the call has ended here, so that
/// there is nothing else to ask.
bool resume(gate_side& side, const node_id& from, const msg::call_open_msg& asked) {
    lock_type guard(side.lock);
    const auto call = call::from_key(asked.call.get());
    const auto running = side.flows.find(call);
    const auto ended = side.undelivered.find(call);
    if (running == side.flows.end() && ended == side.undelivered.end()) {
        return false;
    }
    const auto flow = ended != side.undelivered.end() ? ended->second : running->second;
    flow->entry = from;
    flow->progressed_at = current_time();
    auto lost = find_lost(*flow, asked);
    const bool has_ended = ended != side.undelivered.end();
    guard.unlock();
    for (auto& each : lost) {
        side.to_entry(from, std::move(each));
    }
    return has_ended;
}

/// Calls that nobody cancelled in time, or whose body does not move.
std::vector<call_id> find_overdue(const gate_side& side, instant now) {
    std::vector<call_id> overdue;
    for (const auto& [call, flow] : side.flows) {
        if (!flow->exchange) {
            continue;
        }
        const bool is_late = !flow->is_answering && now > flow->deadline + overdue_grace;
        const bool is_stalled = flow->is_answering && now > flow->progressed_at + max_stall;
        if (is_late || is_stalled) {
            overdue.push_back(call);
        }
    }
    return overdue;
}

} // namespace

void on_open(gate_side& side, const node_id& from, msg::call_open_msg message) {
    if (message.reattach && resume(side, from, message)) {
        return;
    }
    const auto now = current_time();
    const auto call = call::from_key(message.call.get());
    const call::gate_request request{
        .call = call,
        .from = from,
        .is_reattach = message.reattach,
        .service = service_id(message.service),
        .version = version_id(message.version),
        .owner = owner_id(message.owner),
        .deadline = now + microseconds(message.deadline_us),
        .gate_instance = message.gate_instance,
        .objective = message.objective_us == 0
                         ? std::nullopt
                         : std::optional(now + microseconds(message.objective_us)),
        .priority = message.priority,
        .no_wait = message.no_wait,
        .route = route_id(message.route)};
    lock_type guard(side.lock);
    const bool was_under_way = call::is_under_way(side.gate, call);
    auto actions = call::on_open(side.gate, request, now);
    if (!was_under_way && call::is_under_way(side.gate, call)) {
        auto flow = std::make_shared<gate_flow>();
        flow->call = call;
        flow->entry = from;
        flow->request = std::move(message);
        flow->received_at = now;
        flow->deadline = request.deadline;
        side.flows.emplace(call, std::move(flow));
    }
    guard.unlock();
    perform(side, std::move(actions));
}

bool on_data(gate_side& side, msg::call_data_msg& message) {
    lock_type guard(side.lock);
    const auto found = side.flows.find(call::from_key(message.call.get()));
    if (found == side.flows.end()) {
        return false;
    }
    const auto flow = found->second;
    if (!flow->exchange) {
        return true;
    }
    const auto fit =
        call::receive_piece(flow->upload, message.offset, message.body.size(), message.last);
    if (fit == call::piece_fit::gap) {
        auto again = make_resend(*flow);
        const auto entry = flow->entry;
        guard.unlock();
        side.to_entry(entry, std::move(again));
        return true;
    }
    if (fit == call::piece_fit::repeated) {
        return true;
    }
    flow->waiting.push_back({std::move(message.body), message.last});
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
        call::note_taken(download, message.taken, message.whole);
        ended->second->progressed_at = current_time();
        if (call::is_taken_whole(download)) {
            side.undelivered.erase(ended);
        }
        return true;
    }
    const auto found = side.flows.find(call);
    if (found == side.flows.end()) {
        return false;
    }
    const auto flow = found->second;
    if (!flow->is_answering) {
        return true;
    }
    flow->head.reset();
    call::note_taken(flow->download, message.taken, message.whole);
    guard.unlock();
    read_on(side, flow);
    return true;
}

void on_cancel(gate_side& side, const call_id& call) {
    lock_type guard(side.lock);
    side.undelivered.erase(call);
    auto actions = call::on_cancel(side.gate, call, current_time());
    guard.unlock();
    perform(side, std::move(actions));
}

void on_upstream(gate_side& side, const msg::upstream_record_msg& upstream) {
    lock_type guard(side.lock);
    side.instance = upstream.instance;
    auto actions = call::on_upstream_change(side.gate, upstream, current_time());
    guard.unlock();
    perform(side, std::move(actions));
}

void on_drain(gate_side& side) {
    lock_type guard(side.lock);
    auto actions = call::on_drain(side.gate, current_time());
    guard.unlock();
    perform(side, std::move(actions));
}

void on_timer(gate_side& side, const snapshot_ptr& config) {
    lock_type guard(side.lock);
    const auto now = current_time();
    if (config && config != side.reservations_from) {
        side.reservations_from = config;
        call::on_reservations(side.gate, call::collect_reservations(*config), now);
    }
    auto actions = call::on_gate_timer(side.gate, now);
    const auto overdue = find_overdue(side, now);
    trim_undelivered(side, now);
    guard.unlock();
    perform(side, std::move(actions));
    for (const auto& each : overdue) {
        release(side, each, true);
        end_call(side, each, {.is_overload = true});
    }
}

std::size_t count_remote(const gate_side& side, const node_id& self) {
    const std::lock_guard guard(side.lock);
    const auto is_remote = [&](const auto& each) { return each.second->entry != self; };
    // The end of an answer may be kept while its call is released.
    const auto under_way = std::count_if(side.flows.begin(), side.flows.end(), is_remote);
    const auto undelivered =
        std::count_if(side.undelivered.begin(), side.undelivered.end(), is_remote);
    return static_cast<std::size_t>(under_way + undelivered);
}

std::size_t cut_off(gate_side& side) {
    lock_type guard(side.lock);
    const auto flows = std::exchange(side.flows, {});
    side.undelivered.clear();
    guard.unlock();
    for (const auto& [call, flow] : flows) {
        if (flow->exchange) {
            abort_exchange(flow->exchange);
        }
    }
    return flows.size();
}

} // namespace cyclamenhatch::edge
