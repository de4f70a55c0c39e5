#pragma once

#include "edge/gate_side.h"

#include <cstdint>
#include <vector>

/// Forwards the bodies of calls between entries and the upstream. Precondition of all functions
/// except trim_undelivered: the lock is not held.
namespace cyclamenhatch::edge {

/// Lets the entry send the rest of the body once the upstream has the head and the first piece.
void begin_upload(gate_side& side, const gate_flow_ptr& flow);

/// Forwards a further piece of the upstream's answer to the entry. Precondition: the answer's head
/// was forwarded, and its last piece was not.
void on_piece(gate_side& side, const gate_flow_ptr& flow, body_piece piece);

/// Ends a call whose answer has another length than its upstream stated, as if the upstream had
/// broken off: its outcome is unknown. `bytes`: of the body so far; `is_ended`: the upstream sends
/// no more.
void end_mismatched(gate_side& side, const gate_flow_ptr& flow, std::uint64_t bytes, bool is_ended);

/// Reads the next piece of the answer if the entry and the link have room for it.
void read_download(gate_side& side, const gate_flow_ptr& flow);

/// Resumes reading for calls that waited for room on the link.
void read_held_back(gate_side& side);

/// Resends what was lost with a link. Returns whether the call has already ended at this gate, so
/// that the reattach is fully handled.
bool resend_lost(gate_side& side, const node_id& sender, const msg::call_open_msg& request);

/// An undelivered answer that is no longer kept.
struct dropped_answer {
    gate_flow_ptr flow;
    /// "timeout" or "memory".
    const char* cause = "";
};

/// Drops undelivered answers whose entry has not asked for the rest in time, and the oldest beyond
/// the size limit; returns them. Precondition: the lock is held.
[[nodiscard]] std::vector<dropped_answer> trim_undelivered(gate_side& side, instant now);

} // namespace cyclamenhatch::edge
