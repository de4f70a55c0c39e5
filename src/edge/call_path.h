#pragma once

#include "call/call_sample.h"
#include "call/routing_view.h"
#include "call/upstream_crash.h"
#include "document/document.h"
#include "edge/header_names.h"
#include "messages/peer_message.h"
#include "model/log_event.h"
#include "settings_generated.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// The call path of one node at run time: the callers' HTTP listener and entry, the gate, and the
/// HTTP client of this node's upstream. The call library makes the decisions.
namespace cyclamenhatch::edge {

/// Functions of the node that the call path uses. Each must be thread safe.
struct call_path_callbacks {
    /// Sends to another node, best effort and without blocking. The call path delivers messages to
    /// this node itself.
    std::function<void(outgoing)> send;
    /// Returns the current view; never null.
    std::function<call::routing_view_ptr()> view;
    /// Receives the outcomes of attempts, which moves use as evidence.
    std::function<void(std::vector<call::call_sample>)> record_samples;
    /// Receives log events; may be empty.
    std::function<void(log_event)> log;
    /// Receives the instance id of this node's upstream when it says in an answer that it leaves;
    /// may be empty.
    std::function<void(const std::string&)> on_upstream_leaving;
    /// Receives each crash of this node's upstream with the calls that it ran; may be empty.
    std::function<void(call::upstream_crash)> on_upstream_crash;
    /// Receives the requests for allowances that this node itself keeps; may be empty. The answers
    /// come back by on_message.
    std::function<void(msg::allowance_request_msg)> ask_own_keeper;
    /// Receives the digest of a suspect that has run well here; may be empty.
    std::function<void(const request_digest&)> on_suspect_ran_well;
};

/// Opaque; made by start_call_path.
struct call_path;

/// Opens the callers' listener and starts to serve. All work is done on `shared` when it is given,
/// and its owner runs it; otherwise on as many threads as the settings state. Throws
/// std::runtime_error when the port cannot be bound.
[[nodiscard]] std::shared_ptr<call_path> start_call_path(const msg::settings_msg& settings,
                                                         call_path_callbacks callbacks,
                                                         const header_names& names = {},
                                                         boost::asio::io_context* shared = nullptr);

/// Handles a call_* message or an allowance_loan from another node; other kinds are ignored. Thread
/// safe, never blocks.
void on_message(call_path& path, const incoming& envelope);
void on_message(call_path& path, incoming&& envelope);

/// Reports that the link to a node was lost or went silent: each call in flight there is reattached
/// under the same call id, and cancels that were sent there lately are repeated. Thread safe.
void on_link_lost(call_path& path, const node_id& peer);

/// Reports a message of which no byte reached the network. A call that it would have opened counts
/// as not run; a call that lost a piece of its body is reattached. A lost reattach is repeated only
/// by its timer: repeating it at once would send it, and all others to that node, in a loop. A lost
/// cancel is repeated for some seconds. Other kinds of messages are ignored. Thread safe.
void on_undelivered(call_path& path, const outgoing& message);

/// Sets the address and state of this node's upstream. Without an address, the addresses of this
/// host are tried. Thread safe.
void set_upstream(call_path& path, const msg::upstream_record_msg& upstream, std::uint16_t port,
                  const std::string& ip = {});

/// Changes the upstream's state and keeps its address. Thread safe.
void set_upstream_state(call_path& path, const msg::upstream_record_msg& upstream);

/// Tells callers to open other connections, and takes no new calls from them unless the settings
/// let the entry linger. Calls that it takes are to end by `runs_end`; those that may take longer
/// are refused. Thread safe.
void begin_drain(call_path& path, instant runs_end = instant::max());

/// Refuses new calls for the upstream; those in flight continue.
void close_gate(call_path& path);

/// Applies the limits of changed settings: retries, attempts, ejection and the service of this
/// host. Thread safe.
void set_limits(call_path& path, const msg::settings_msg& settings);

/// Accepts no more callers; those that wait for answers still get them. Thread safe.
void stop_accepting(call_path& path);

/// Calls in flight at this node's entry and gate. Thread safe.
[[nodiscard]] std::size_t count_in_flight(const call_path& path);

/// Ends each call that has no answer yet with an answer of this node, and refuses later ones. Call
/// it shortly before stop, so that the answers reach their callers. Returns the number of calls
/// that it ends. Thread safe.
std::size_t answer_pending_calls(call_path& path);

/// Closes the listener and aborts the calls in flight. Returns their number.
std::size_t stop(call_path& path);

/// State for the dump: endpoints, limits, budgets, queue, counters. Bounded in size. Thread safe.
[[nodiscard]] document dump(const call_path& path);

/// Slot use per owner: reserved, used, lent, borrowed, in slot-seconds. Thread safe.
[[nodiscard]] document owner_usage(const call_path& path);

/// Counters and histograms in Prometheus text. Thread safe.
[[nodiscard]] std::string metrics_text(const call_path& path);

} // namespace cyclamenhatch::edge
