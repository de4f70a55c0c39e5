#pragma once

#include "call/body_stream.h"
#include "call/gate.h"
#include "edge/header_names.h"
#include "edge/latency_histogram.h"
#include "edge/upstream_client.h"
#include "messages/peer_message.h"
#include "model/log_event.h"
#include "model/snapshot.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

/// The gate at run time: holds the calls that wait or run, and carries their bodies between links
/// and the upstream.
namespace cyclamenhatch::edge {

/// A call at the gate, from its call_open to its end. Guarded by the gate's lock.
struct gate_flow {
    call_id call;
    /// Who waits for the answer; the last one that asked.
    node_id entry;
    msg::call_open_msg request;
    /// Set before the exchange begins; empty where requests are not named.
    std::string request_id;
    instant received_at{};
    instant deadline{};
    instant started_at{};
    /// When a piece of a body last moved.
    instant progressed_at{};
    upstream_exchange_ptr exchange;
    call::incoming_body upload;
    /// Pieces of the request's body that the upstream's connection has not taken.
    std::deque<body_piece> waiting;
    /// Bytes of the request's body that it has taken.
    std::uint64_t uploaded = 0;
    /// The entry was asked to send again what is missing before a gap.
    bool is_resend_asked = false;
    bool is_writing = false;
    bool is_answering = false;
    bool is_reading = false;
    /// The head of an answer of more than one piece, until the entry is known to have it.
    std::unique_ptr<msg::call_answer_msg> head;
    call::outgoing_body download;
    /// Waits for room on the link.
    bool is_held_back = false;
    microseconds queue_time{0};
    microseconds upstream_time{0};
};

using gate_flow_ptr = std::shared_ptr<gate_flow>;

/// Thread safe by its lock, which is never held while a message is sent or a callback runs. The
/// upstream client's lock may be taken under it, nothing else.
struct gate_side {
    const node_id self;
    /// Bytes of all answers together that may be under way to other nodes.
    const std::uint64_t link_window;
    std::shared_ptr<upstream_client> client;
    /// Sends to an entry; may be called from any thread.
    std::function<void(const node_id&, peer_message)> to_entry;
    /// Takes log events from any thread; may be empty.
    std::function<void(log_event)> log;
    latency_histograms& histograms;
    const header_names& names;
    mutable std::mutex lock;
    // Guarded by lock.
    call::gate_state gate;
    /// Names the present run of the upstream; empty when it does not say.
    std::string instance;
    std::unordered_map<call_id, gate_flow_ptr> flows;
    /// Calls that have ended here, but whose entry is not known to have all of the answer.
    std::unordered_map<call_id, gate_flow_ptr> undelivered;
    /// Calls whose next piece waits for room on the link, in the order of their turns.
    std::deque<gate_flow_ptr> held_back;
    snapshot_ptr reservations_from;
};

void on_open(gate_side& side, const node_id& from, msg::call_open_msg message);

/// These are false when the gate has no such call under way.
bool on_data(gate_side& side, msg::call_data_msg& message);
bool on_credit(gate_side& side, const msg::call_credit_msg& message);

/// Ends a call at the gate and does what follows from that.
void end_call(gate_side& side, const call_id& call, const call::upstream_end& end);

void on_cancel(gate_side& side, const call_id& call);
void on_upstream(gate_side& side, const msg::upstream_record_msg& upstream);
void on_drain(gate_side& side);

/// Call it every few milliseconds while calls are under way.
void on_timer(gate_side& side, const snapshot_ptr& config);

/// Calls under way, or with an answer that is not known to have arrived, whose entry is another
/// node than this.
[[nodiscard]] std::size_t count_remote(const gate_side& side, const node_id& self);

/// Breaks off all calls; returns how many that were.
std::size_t cut_off(gate_side& side);

} // namespace cyclamenhatch::edge
