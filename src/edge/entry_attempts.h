#pragma once

#include "edge/entry_side.h"

/// Sends the messages of attempts to gates. No function may be called with the entry's lock held.
namespace cyclamenhatch::edge {

/// Sends an attempt; one after the first only if the caller still waits.
void send_open(entry_side& side, const entry_flow_ptr& flow, const call::open_action& open);

/// Asks the gate for the state of an attempt.
void send_reattach(entry_side& side, const entry_flow& flow, const call::attempt_target& target);

void send_cancel(entry_side& side, const call_id& call, const node_id& node,
                 const peer_address& address);

/// Logs a cancel of which no byte reached the network.
void log_undelivered_cancel(const entry_side& side, const node_id& node, const call_id& call);

} // namespace cyclamenhatch::edge
