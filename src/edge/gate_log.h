#pragma once

#include "edge/gate_side.h"

/// What a gate writes into the log of bytes that are no answer.
namespace cyclamenhatch::edge {

/// Logs what comes of this exchange. Precondition: the gate's lock is not held.
void log_faults(const gate_side& side, const gate_flow_ptr& flow, const answer_match& match,
                upstream_events& events);

/// Logs that a call is cut while its upstream had sent some bytes and not yet a whole head.
void log_cut(const gate_side& side, const gate_flow& flow);

} // namespace cyclamenhatch::edge
