#pragma once

#include "messages/peer_message.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

/// Repeats the cancels that may have been lost with a link.
namespace cyclamenhatch::call {

struct sent_cancel {
    node_id node;
    peer_address address;
    /// When to send it again; empty unless it may be lost.
    std::optional<instant> repeat_at;
};

/// The cancels that an entry has sent lately. Not thread safe; the caller serialises access.
struct sent_cancels {
    std::unordered_map<call_id, sent_cancel> by_call;
    /// Cancels by the time when each was first sent, oldest first.
    std::deque<std::pair<instant, call_id>> order;
};

/// A cancel to be sent again.
struct repeated_cancel {
    call_id call;
    node_id node;
    peer_address address;
};

/// Records a cancel that is sent to the gate at this node.
void note_sent(sent_cancels& cancels, const call_id& call, const node_id& node,
               const peer_address& address, instant now);

/// Records that no byte of a cancel reached the network.
void note_undelivered(sent_cancels& cancels, const call_id& call, instant now);

/// Records that a link to the node was lost, and that what was sent on it may be lost too.
void note_link_lost(sent_cancels& cancels, const node_id& node, instant now);

/// Returns the cancels to be sent again now, and forgets those that are too old to matter. Call it
/// every few milliseconds while calls are in flight.
[[nodiscard]] std::vector<repeated_cancel> take_due(sent_cancels& cancels, instant now);

} // namespace cyclamenhatch::call
