#pragma once

#include "edge/entry_side.h"
#include "edge/entry_steps.h"

#include <optional>
#include <utility>
#include <vector>

/// Admits the calls of workspaces with an allowance at the entry, before their first attempt. A
/// call that finds no lent call waits for a short time without an attempt.
namespace cyclamenhatch::edge {

using flow_results = std::vector<std::pair<entry_flow_ptr, step_result>>;

/// Work left to do without the entry's lock.
struct allowance_work {
    /// Calls that are admitted or refused.
    flow_results results;
    std::vector<outgoing> requests;
};

/// Admits, refuses or lets wait a call that has just arrived. Precondition: the lock is held and
/// the call is one of the side's flows.
[[nodiscard]] allowance_work admit(entry_side& side, const call::routing_view& view,
                                   const entry_flow_ptr& flow, instant now);

/// Admits and refuses the calls whose wait has ended, and asks again where no answer came.
/// Precondition: the lock is held.
[[nodiscard]] allowance_work end_waits(entry_side& side, const call::routing_view& view,
                                       instant now);

/// Carries out what is left to do. Precondition: the lock is not held.
void carry_out(entry_side& side, allowance_work work);

/// Handles the answer of a keeper.
void on_allowance_loan(entry_side& side, const node_id& sender,
                       const msg::allowance_loan_msg& message);

} // namespace cyclamenhatch::edge
