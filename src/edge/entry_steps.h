#pragma once

#include "edge/entry_side.h"
#include "model/handler_guard.h"
#include "model/log_event.h"

#include <cstdint>
#include <vector>

/// Carries out the actions that the entry decides on.
namespace cyclamenhatch::edge {

/// Logs an event about a call, if a log is set.
void log_call(const entry_side& side, log_event event);

/// Log event for an answer that was cut off, with the bytes sent so far. Precondition: the entry's
/// lock is held, or no other thread can reach the call.
[[nodiscard]] log_event describe_cut(const entry_flow& flow, const char* event, const char* cause);

/// Work left to do after a step, without the lock.
struct step_result {
    std::vector<call::entry_action> actions;
    std::vector<call::call_sample> samples;
};

/// Advances a call and records the attempts that ended. Precondition: the entry's lock is held.
[[nodiscard]] step_result step(entry_side& side, const entry_flow_ptr& flow,
                               const call::entry_event& event);

/// Ends the attempt of a call whose answer, with `bytes` of its body so far, has another length
/// than its head states: nothing more of that answer is passed on. Precondition: the call has an
/// attempt and `guard` holds the entry's lock, which is released.
void end_mismatched(entry_side& side, const entry_flow_ptr& flow, std::uint64_t bytes,
                    state_lock& guard);

/// Carries out the actions of a step. Precondition: the entry's lock is not held. `answer` is the
/// answer message that caused the step, or null.
void perform(entry_side& side, const entry_flow_ptr& flow, step_result result,
             msg::call_answer_msg* answer);

/// The call whose current attempt has this id and node; null when there is none. Precondition: the
/// entry's lock is held.
[[nodiscard]] entry_flow_ptr find_attempt(entry_side& side, const node_id& sender,
                                          const call_id& call);

/// Reports to the gate how much of an answer of more than one piece has arrived and was taken by
/// the caller. Precondition: as for perform.
void send_credit(entry_side& side, const entry_flow_ptr& flow);

/// Writes the next waiting piece of the answer to the caller. Precondition: as for perform.
void write_download(entry_side& side, const entry_flow_ptr& flow);

/// The event for an expired timer: endpoint_gone_event when the link was lost and the endpoint is
/// no longer in the view, otherwise timer_event.
[[nodiscard]] call::entry_event find_timer_event(const call::routing_view& view,
                                                 const entry_flow& flow);

} // namespace cyclamenhatch::edge
