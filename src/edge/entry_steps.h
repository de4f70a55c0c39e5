#pragma once

#include "edge/entry_side.h"

#include "model/log_event.h"

#include <vector>

/// How the entry carries out what its decisions ask for.
namespace cyclamenhatch::edge {

/// Logs an event about a call, when anybody listens.
void log_call(const entry_side& side, log_event event);

/// A line that tells how far an answer that was not brought to its end had come. Precondition: the
/// entry's lock is held, or nobody else has the call.
[[nodiscard]] log_event describe_cut(const entry_flow& flow, const char* event, const char* cause);

/// What is left to do after a step, without the lock.
struct step_result {
    std::vector<call::entry_action> actions;
    std::vector<call::call_sample> samples;
};

/// Advances a call and books what ended. Precondition: the entry's lock is held.
[[nodiscard]] step_result step(entry_side& side, const entry_flow_ptr& flow,
                               const call::entry_event& event);

/// Sends and answers what the step asked for. Precondition: the entry's lock is not held. `answer`
/// is the message that the step was about, when it was one.
void perform(entry_side& side, const entry_flow_ptr& flow, step_result done,
             msg::call_answer_msg* answer);

/// The call whose present attempt is at that node with that id; null when nobody waits for it.
/// Precondition: the entry's lock is held.
[[nodiscard]] entry_flow_ptr find_attempt(entry_side& side, const node_id& from,
                                          const call_id& call);

/// Tells the gate how much of an answer of more than one piece has arrived and was taken.
/// Precondition: as for perform.
void send_credit(entry_side& side, const entry_flow_ptr& flow);

/// Writes the next waiting piece of the answer to the caller. Precondition: as for perform.
void download_on(entry_side& side, const entry_flow_ptr& flow);

/// A timer, or, once the link was lost, the news that the endpoint has left for good.
[[nodiscard]] call::entry_event find_timer_event(const call::routing_view& view,
                                                 const entry_flow& flow);

} // namespace cyclamenhatch::edge
