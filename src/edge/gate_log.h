#pragma once

#include "edge/gate_bodies.h"
#include "edge/gate_side.h"

#include <cstdint>
#include <optional>
#include <string>

/// Logs bytes from the upstream that are not a valid answer.
namespace cyclamenhatch::edge {

/// Makes the exchange log its faults with its request id. Precondition: the gate's lock is not
/// held.
void log_faults(const gate_side& side, const gate_flow_ptr& flow, const answer_match& match,
                upstream_events& events);

/// Logs an answer of which an entry may still lack a part.
void log_dropped(const gate_side& side, const dropped_answer& answer);

/// Logs that an entry asks for the rest of an answer that this gate does not keep.
void log_lost(const gate_side& side, const node_id& entry, std::uint64_t received);

/// Logs that the rate limit of the upstream's run is known, changed or lifted. `source` is the
/// request whose answer stated it, or the node that knew it.
void log_rate(const gate_side& side, const std::string& instance, std::optional<double> before,
              std::optional<double> after, const std::string& source);

/// Logs a stated rate limit that is not a number of zero or more; the last valid one holds on.
void log_invalid_rate(const gate_side& side, const gate_flow& flow);

/// Logs a stated load that cannot be read and is ignored. Call it once for a run of the upstream.
void log_invalid_load(const gate_side& side, const std::string& instance,
                      const std::string& request);

/// Logs that the upstream's run has said in the answer to a request that it leaves.
void log_leaving(const gate_side& side, const std::string& instance, const std::string& request);

/// Logs an answer whose body has another length than its head states. `bytes`: of the body so far.
/// Precondition: no other thread can change the flow's length.
void log_mismatch(const gate_side& side, const gate_flow& flow, std::uint64_t bytes);

/// Logs a call that waited long on its link and is dispatched. Precondition: log_faults was called.
void log_late_dispatch(const gate_side& side, const gate_flow& flow, microseconds time_left);

/// Logs a call that is cancelled while its upstream runs it, when either message was late. `delay`
/// is how long the cancel waited on its link.
void log_cancelled_run(const gate_side& side, const gate_flow& flow, microseconds delay,
                       instant now);

/// Logs a cancel of an unknown call that could not be remembered: the call runs if it still
/// arrives.
void log_ignored_cancel(const gate_side& side, const call_id& call);

/// Logs a call that is aborted after its upstream has sent some bytes but not a whole head.
void log_cut(const gate_side& side, const gate_flow& flow);

} // namespace cyclamenhatch::edge
