#pragma once

#include "allowance/stock.h"
#include "call/body_stream.h"
#include "call/choose_endpoint.h"
#include "call/entry_call.h"
#include "call/inner_calls.h"
#include "call/returning_caller.h"
#include "call/sent_cancels.h"
#include "edge/answer_length.h"
#include "edge/call_path.h"
#include "edge/caller_listener.h"
#include "edge/header_names.h"
#include "edge/latency_histogram.h"
#include "messages/peer_message.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

/// The entry at run time: holds the callers' calls and forwards their bodies between connections
/// and links.
namespace cyclamenhatch::edge {

struct entry_flow;
using entry_timers = std::multimap<instant, std::shared_ptr<entry_flow>>;

/// A caller's call from its request to its answer. Guarded by the entry's lock, except for members
/// that are constant after construction.
struct entry_flow {
    call::entry_call state;
    caller_exchange_ptr exchange;
    /// The request as each attempt sends it; constant.
    msg::call_open_msg request;
    service_id service;
    route_id route;
    call::version_filter versions;
    /// Request id that callers and upstreams know; empty when the caller stated none.
    std::string request_id;
    instant received_at{};
    /// When the answer loses most of its value to the caller: the latency objective of the route.
    std::optional<instant> objective;
    /// Time that the upstream took for the current answer.
    std::optional<microseconds> run_time;
    /// A server error that is returned to the caller when no better answer comes.
    std::unique_ptr<msg::call_answer_msg> kept_answer;
    call::outgoing_body upload;
    /// The gate has dispatched the call and accepts the rest of the request's body.
    bool may_upload = false;
    bool is_reading = false;
    call::incoming_body download;
    /// Bytes of the answer's body that the caller's connection has taken.
    std::uint64_t taken_bytes = 0;
    /// Set with the answer's head.
    answer_length length;
    std::deque<body_piece> waiting_pieces;
    bool is_writing = false;
    /// The attempt that an answer of more than one piece comes from; set with its head.
    std::optional<call::attempt_target> streaming_target;
    /// The call's timer, if one is set.
    std::optional<entry_timers::iterator> timer;
};

using entry_flow_ptr = std::shared_ptr<entry_flow>;

/// A call that waits for the allowance of its workspace.
struct allowance_waiter {
    entry_flow_ptr flow;
    instant until;
};

struct entry_counters {
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
    /// Refused at once because upstreams have crashed under the same request.
    std::atomic<std::uint64_t> held{0};
    std::atomic<std::uint64_t> broken_off{0};
    /// Answers whose body had another length than its head states.
    std::atomic<std::uint64_t> length_mismatches{0};
    std::atomic<std::uint64_t> callers_gone{0};
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> server_errors_retried{0};
    std::atomic<std::uint64_t> reattaches{0};
    /// Late, crossed or repeated messages that no call waited for.
    std::atomic<std::uint64_t> dropped_messages{0};
};

struct entry_limits {
    /// The slack is that of all nodes together.
    call::budget_rules retries;
    std::uint32_t max_attempts = 3;
    std::uint32_t max_hops = 8;
    microseconds ejection{2'000'000};
    std::uint32_t max_ejected_percent = 50;
    /// Whether callers are still served while the node drains, until its listener closes.
    bool lingers = false;
};

/// Thread safe by its lock, which is never held while a message is sent, a callback runs or the
/// gate's lock is taken.
struct entry_side {
    entry_limits limits;
    const data_centre_id data_centre;
    const header_names& names;
    /// The service whose upstream runs on this host; stated to other upstreams.
    std::string host_service;
    const call_path_callbacks& callbacks;
    /// Sends to a gate; may be called from any thread.
    std::function<void(const node_id&, const peer_address&, peer_message)> send_to_gate;
    /// Asks a keeper of allowances; may be called from any thread.
    std::function<void(const node_id&, const peer_address&, peer_message)> send_to_keeper;
    latency_histograms& histograms;
    /// Whether the upstream on this host runs a call with this deadline. Called without the lock.
    std::function<bool(instant)> runs_parent;
    entry_counters counters;
    std::atomic<bool> is_draining{false};
    mutable std::mutex lock;
    // Guarded by lock.
    random_source random;
    call::load_table loads;
    call::route_times run_times;
    call::stated_times_table stated_times;
    /// Longest times that recent calls took to their answers.
    std::map<route_id, call::recent_longest> answer_times;
    /// Set while the node drains: when calls must end at their upstreams.
    std::optional<instant> runs_end;
    std::map<service_id, call::retry_budget> budgets;
    call::route_origins origins;
    /// Retry rules for the current number of live nodes.
    call::budget_rules retry_rules;
    /// Calls by the id of their current attempt.
    std::unordered_map<call_id, entry_flow_ptr> attempts;
    /// Calls whose caller waits for or reads its answer.
    std::unordered_map<const caller_exchange*, entry_flow_ptr> flows;
    entry_timers timers;
    call::sent_cancels cancels;
    allowance::entry_state allowances;
    std::map<workspace_id, std::deque<allowance_waiter>> allowance_waiters;
    instant cleaned_at{};
};

void on_request(entry_side& side, const caller_exchange_ptr& exchange, request_head head,
                body_piece first);
void on_caller_gone(entry_side& side, const caller_exchange_ptr& exchange, disconnect_cause cause);

void on_answer(entry_side& side, const node_id& sender, msg::call_answer_msg message);
void on_refused(entry_side& side, const node_id& sender, const msg::call_refused_msg& message);
void on_data(entry_side& side, const node_id& sender, msg::call_data_msg message);
void on_credit(entry_side& side, const node_id& sender, const msg::call_credit_msg& message);
void on_link_lost(entry_side& side, const node_id& peer);
/// Handles a cancel of which no byte reached the network.
void on_undelivered_cancel(entry_side& side, const node_id& node, const call_id& call);

/// Whether a request may run at the same time as an earlier one of its connection: only if its
/// route is idempotent.
[[nodiscard]] bool may_overlap(const entry_side& side, const request_head& head);

/// Call it every few milliseconds while calls are in flight.
void on_timer(entry_side& side);

[[nodiscard]] std::size_t count_in_flight(const entry_side& side);

/// From now on calls are sent such that they end by this time, and those that may take longer are
/// refused.
void limit_runs(entry_side& side, instant runs_end);

/// Ends each call that has no answer yet with an answer of this node, so that no caller is left
/// with a closed connection when the node stops, and refuses later ones. Returns the number of
/// calls that it ends.
std::size_t answer_pending_calls(entry_side& side);

/// Breaks off all calls; returns their number.
std::size_t cut_off(entry_side& side);

} // namespace cyclamenhatch::edge
