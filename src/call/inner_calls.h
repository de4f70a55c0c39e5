#pragma once

#include "call/gate.h"
#include "call/retry_budget.h"

#include <map>

/// Tells the routes of inner calls: those that an upstream makes while it runs another call. An
/// inner call that is refused spoils a run that has used a slot already.
///
/// An inner call ends at its parent's deadline, so its deadline is that of a call that the upstream
/// on the same host runs. Single calls of others match one by chance; a route nearly all of whose
/// calls match is one of inner calls.
namespace cyclamenhatch::call {

struct route_origin {
    service_id service;
    /// Smoothed share of calls that have a parent, 0 to 1.
    double parent_share = 0;
    std::uint32_t calls = 0;
    instant noted_at{};
};

/// Not thread safe; the holder of the entry serialises access.
using route_origins = std::map<route_id, route_origin>;

/// Whether the upstream of this gate runs a call with this deadline, up to the delays of messages.
[[nodiscard]] bool runs_parent(const gate_state& gate, instant deadline);

/// Records a call of the route.
void note_origin(route_origins& origins, const route_id& route, const service_id& service,
                 bool has_parent, instant now);

[[nodiscard]] bool is_inner(const route_origins& origins, const route_id& route);

/// The retry rules for a call: while a service gets inner calls, a part is kept for them.
[[nodiscard]] budget_rules rules_for(const budget_rules& rules, const route_origins& origins,
                                     const route_id& route, const service_id& service);

/// Forgets routes without calls for a minute.
void forget_idle(route_origins& origins, instant now);

} // namespace cyclamenhatch::call
