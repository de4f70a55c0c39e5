#pragma once

#include "call/body_stream.h"
#include "call/crash_watch.h"
#include "call/gate.h"
#include "call/quarantine_view.h"
#include "edge/answer_length.h"
#include "edge/header_names.h"
#include "edge/latency_histogram.h"
#include "edge/upstream_client.h"
#include "messages/peer_message.h"
#include "model/log_event.h"
#include "model/snapshot.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

/// The gate at run time: holds the calls that wait or run, and forwards their bodies between links
/// and the upstream.
namespace cyclamenhatch::edge {

/// A call at the gate, from its call_open to its end. Guarded by the gate's lock.
struct gate_flow {
    call_id call;
    /// Node that waits for the answer: the one that last opened or reattached the call.
    node_id entry;
    msg::call_open_msg request;
    /// Set before the exchange begins; empty when the request has no id.
    std::string request_id;
    instant received_at{};
    /// How long the message that opened the call waited on its link.
    microseconds link_delay{0};
    instant deadline{};
    instant started_at{};
    /// When a piece of a body was last read or written.
    instant progressed_at{};
    upstream_exchange_ptr exchange;
    /// Number of the upstream's run that the call was dispatched to.
    std::uint64_t upstream_run = 0;
    call::incoming_body upload;
    /// Pieces of the request's body that the upstream's connection has not taken.
    std::deque<body_piece> waiting_pieces;
    /// Bytes of the request's body that the upstream's connection has taken.
    std::uint64_t uploaded_bytes = 0;
    /// The entry was asked to resend the pieces missing before a gap.
    bool is_resend_requested = false;
    bool is_writing = false;
    bool is_answering = false;
    /// Whether the answer's status is that of a good run.
    bool is_good_run = false;
    bool is_reading = false;
    /// The head of an answer of more than one piece, until the entry has confirmed it.
    std::unique_ptr<msg::call_answer_msg> head;
    /// Set with the answer's head.
    answer_length length;
    call::outgoing_body download;
    /// Whether the next piece waits for room on the link.
    bool is_held_back = false;
    microseconds queue_time{0};
    microseconds upstream_time{0};
};

using gate_flow_ptr = std::shared_ptr<gate_flow>;

/// Thread safe by its lock, which is never held while a message is sent or a callback runs. The
/// upstream client's lock may be taken under it, nothing else.
struct gate_side {
    const node_id self;
    const data_centre_id data_centre;
    /// Limit for the bytes in flight to other nodes, over all answers.
    const std::uint64_t link_window;
    std::shared_ptr<upstream_client> client;
    /// Sends to an entry; may be called from any thread.
    std::function<void(const node_id&, peer_message)> send_to_entry;
    /// Receives log events from any thread; may be empty.
    std::function<void(log_event)> log;
    /// Called from any thread with the instance id of an upstream that says in an answer that it
    /// leaves; may be empty.
    std::function<void(const std::string&)> on_upstream_leaving;
    /// Returns what is known of suspects, or null.
    std::function<call::quarantine_view_ptr()> suspects;
    /// Receives each crash of the upstream, from any thread; may be empty.
    std::function<void(call::upstream_crash)> on_upstream_crash;
    /// Receives the digest of a suspect that has run well, from any thread; may be empty.
    std::function<void(const request_digest&)> on_suspect_ran_well;
    latency_histograms& histograms;
    const header_names& names;
    /// Answers whose body had another length than the upstream stated.
    std::atomic<std::uint64_t> length_mismatches{0};
    mutable std::mutex lock;
    // Guarded by lock.
    call::gate_state gate;
    /// Instance id of the current run of the upstream; empty when it states none.
    std::string instance;
    /// When that run started, as it announced; 0 if unknown.
    std::uint64_t started_ms = 0;
    /// Counts the runs of the upstream.
    std::uint64_t upstream_run = 0;
    /// That run has stated a load that cannot be read.
    bool has_invalid_load = false;
    std::unordered_map<call_id, gate_flow_ptr> flows;
    /// Calls that have ended here, but whose entry has not confirmed the whole answer.
    std::unordered_map<call_id, gate_flow_ptr> undelivered;
    /// Calls whose next piece waits for room on the link, first come first served.
    std::deque<gate_flow_ptr> held_back;
    /// The configuration last applied to the gate; may be null.
    snapshot_ptr applied_config;
    /// Whether the log shows the upstream as cold.
    bool is_cold_logged = false;
    /// Calls refused for the warm-up before the upstream became cold.
    std::uint64_t refused_before_cold = 0;
    call::crash_watch crashes;
    /// The run of the upstream that has crashed, while its calls are collected.
    call::upstream_crash crashed;
    /// The last probe of the upstream's listener; may be null.
    upstream_probe_ptr probe;
    std::uint64_t crash_count = 0;
};

/// `delay` is how long the message waited on its link.
void on_open(gate_side& side, const node_id& sender, msg::call_open_msg message,
             microseconds delay = microseconds{0});

/// Handles the head and the first piece of the upstream's answer to a running call. Precondition:
/// the call was dispatched and had no answer.
void on_answer(gate_side& side, const gate_flow_ptr& flow, answer_head head, body_piece piece);

/// Returns false when the gate has no such call.
bool on_data(gate_side& side, msg::call_data_msg& message);
bool on_credit(gate_side& side, const msg::call_credit_msg& message);

/// Ends a call at the gate and carries out the resulting actions.
void end_call(gate_side& side, const call_id& call, const call::upstream_end& end);

/// `delay` is how long the message waited on its link.
void on_cancel(gate_side& side, const call_id& call, microseconds delay = microseconds{0});
void on_upstream(gate_side& side, const msg::upstream_record_msg& upstream);
void on_drain(gate_side& side);

/// Call it every few milliseconds while calls are in flight.
void on_timer(gate_side& side, const snapshot_ptr& config);

/// Calls of other nodes' entries that are in flight, or whose answer is not confirmed.
[[nodiscard]] std::size_t count_remote(const gate_side& side, const node_id& self);

/// Aborts all calls; returns their number.
std::size_t cut_off(gate_side& side);

} // namespace cyclamenhatch::edge
