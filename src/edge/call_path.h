#pragma once

#include "call/call_sample.h"
#include "call/routing_view.h"
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
/// HTTP client towards the upstream beside this node. Decisions stand in the call library.
namespace cyclamenhatch::edge {

/// What the call path needs of the node around it. Each function may be called from any thread.
struct surroundings {
    /// Sends to another node, best effort and without blocking. Messages to this node itself are
    /// the call path's own matter.
    std::function<void(outgoing)> send;
    /// The present view; never null.
    std::function<call::routing_view_ptr()> view;
    /// Takes the ends of calls as evidence.
    std::function<void(std::vector<call::call_sample>)> record;
    /// Takes log events; nothing is logged when it is not set.
    std::function<void(log_event)> log;
};

/// Opaque; made by start_call_path.
struct call_path;

/// Opens the callers' listener of the settings and begins to serve. With an io_context all work is
/// done there, and whoever owns it runs it; else on the settings' number of threads. Throws
/// std::runtime_error when the port cannot be had.
[[nodiscard]] std::shared_ptr<call_path> start_call_path(const msg::settings_msg& settings,
                                                         surroundings around,
                                                         const header_names& names = {},
                                                         boost::asio::io_context* shared = nullptr);

/// Hands over call_* messages from other nodes; other kinds are ignored. Thread safe, never blocks.
void on_message(call_path& path, const incoming& from);
void on_message(call_path& path, incoming&& from);

/// Tells that the link to a node was lost or went silent: calls under way there are asked for again
/// with the same call id. Thread safe.
void on_link_lost(call_path& path, const node_id& peer);

/// Tells of a message of which no byte was handed to the network. A call that it would have opened
/// was not run; one that lost a piece of its body is asked for again. A question for a call is
/// repeated by its timer alone: repeating it at once would send it, and all others to that node,
/// over and over. Messages of other kinds are ignored. Thread safe.
void on_undelivered(call_path& path, const outgoing& message);

/// Tells where the upstream beside this node listens, and its state. Without an address it is
/// looked for on this host. Thread safe.
void set_upstream(call_path& path, const msg::upstream_record_msg& upstream, std::uint16_t port,
                  const std::string& ip = {});

/// Tells a change of the upstream's state; where it listens stays as it is. Thread safe.
void set_upstream_state(call_path& path, const msg::upstream_record_msg& upstream);

/// Tells callers to open other connections, and takes no new calls from them unless the settings
/// let the entry linger. Thread safe.
void begin_drain(call_path& path);

/// Takes no more calls for the upstream; those under way go on.
void close_gate(call_path& path);

/// Takes over the limits of changed settings: retries, attempts, ejection and the service of this
/// host. Thread safe.
void set_limits(call_path& path, const msg::settings_msg& settings);

/// Accepts no more callers; those that wait for answers still get them. Thread safe.
void stop_accepting(call_path& path);

/// Calls under way at this node's entry and gate. Thread safe.
[[nodiscard]] std::size_t count_in_flight(const call_path& path);

/// Ends each call that has no answer yet with one of this node's own. Call it a moment before stop,
/// so that the answers reach their callers. Returns how many calls that were. Thread safe.
std::size_t answer_unfinished(call_path& path);

/// Closes the listener and ends what is still under way. Returns how many calls were cut off.
std::size_t stop(call_path& path);

/// State for the dump: endpoints, limits, budgets, queue, counters. Bounded in size. Thread safe.
[[nodiscard]] document dump(const call_path& path);

/// Slot use per owner: reserved, used, lent, borrowed, in slot-seconds. Thread safe.
[[nodiscard]] document usage(const call_path& path);

/// Counters and histograms in Prometheus text. Thread safe.
[[nodiscard]] std::string metrics_text(const call_path& path);

} // namespace cyclamenhatch::edge
