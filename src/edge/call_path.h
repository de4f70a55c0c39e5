#pragma once

#include "call/call_sample.h"
#include "call/routing_view.h"
#include "document/document.h"
#include "messages/peer_message.h"
#include "settings_generated.h"

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
};

/// Opaque; made by start_call_path.
struct call_path;

/// Opens the listener on the settings' ip and caller_port and begins to serve. Throws
/// std::runtime_error when the port cannot be had.
[[nodiscard]] std::shared_ptr<call_path> start_call_path(const msg::settings_msg& settings,
                                                         surroundings around);

/// Hands over call_* messages from other nodes; other kinds are ignored. Thread safe, never blocks.
void on_message(call_path& path, const incoming& from);
void on_message(call_path& path, incoming&& from);

/// Tells that the link to a node was lost or went silent: calls under way there are asked for again
/// with the same call id. Thread safe.
void on_link_lost(call_path& path, const node_id& peer);

/// Tells where the upstream beside this node listens, and its state. Thread safe.
void set_upstream(call_path& path, const msg::upstream_record_msg& upstream, std::uint16_t port);

/// Stops new work: entry and gate refuse. Thread safe.
void begin_drain(call_path& path);

/// Calls under way at this node's entry and gate. Thread safe.
[[nodiscard]] std::size_t count_in_flight(const call_path& path);

/// Closes the listener and ends what is still under way. Returns how many calls were cut off.
std::size_t stop(call_path& path);

/// State for the dump: endpoints, limits, budgets, queue, counters. Bounded in size. Thread safe.
[[nodiscard]] document dump(const call_path& path);

/// Slot use per owner: reserved, used, lent, borrowed, in slot-seconds. Thread safe.
[[nodiscard]] document usage(const call_path& path);

/// Counters and histograms in Prometheus text. Thread safe.
[[nodiscard]] std::string metrics_text(const call_path& path);

} // namespace cyclamenhatch::edge
