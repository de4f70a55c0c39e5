#pragma once

#include "edge/gate_side.h"

/// How the gate carries the bodies of its calls between links and the upstream. The lock is not
/// held by the caller of these functions, but for trim_undelivered.
namespace cyclamenhatch::edge {

/// The upstream has the head and the first piece: the entry may send the rest of the body.
void begin_upload(gate_side& side, const gate_flow_ptr& flow);

/// Reads the next piece of the answer while the entry is ready to take it.
void read_on(gate_side& side, const gate_flow_ptr& flow);

/// Reads on for the calls whose pieces have waited for room on the link.
void read_held_back(gate_side& side);

/// Sends again what a lost link took with it. Returns whether the call has ended here, so that
/// there is nothing else to ask.
bool resume(gate_side& side, const node_id& from, const msg::call_open_msg& asked);

/// Forgets answers whose entry has not asked for the rest in time, and the oldest beyond the bound.
/// Precondition: the lock is held.
void trim_undelivered(gate_side& side, instant now);

} // namespace cyclamenhatch::edge
