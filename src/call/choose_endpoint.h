#pragma once

#include "call/endpoint_speed.h"
#include "call/load_table.h"
#include "call/routing_view.h"
#include "model/random.h"

#include <optional>
#include <string_view>
#include <vector>

/// Chooses the version and the endpoint of a call.
namespace cyclamenhatch::call {

/// Input of choose_endpoint(). The referenced objects must outlive the call.
struct choice_input {
    const std::vector<endpoint>& endpoints;
    const version_filter& versions;
    const data_centre_id& data_centre;
    /// Nodes to which this call has already been sent.
    const std::vector<node_id>& tried;
    const route_id& route;
    /// Calls a second that a cold upstream of the service takes; 0 for no limit.
    double warm_up_calls_per_s = 0;
    /// Measured run times of the routes; null for none.
    const route_times* times = nullptr;
    /// When the answer loses most of its worth to the caller: its objective or, if it has none or
    /// has missed it, its deadline.
    std::optional<instant> useful_until;
};

/// Chooses the versions for one call by the service's version share. Calls with the same key get
/// the same versions while the share is unchanged; without a key the choice is random. Falls back
/// to the old version while the new one has no ready endpoint, never the other way.
[[nodiscard]] version_filter choose_version(const routing_view& view, const service& target,
                                            std::optional<std::string_view> caller_key,
                                            random_source& random);

/// Chooses the better of two random endpoints of the version, in the entry's data centre while one
/// there has room. Where upstreams state their pace, a call goes to another data centre only when
/// it may be late here and is expected to end there clearly sooner. A cold endpoint is left out
/// until the entry's turn comes, unless no other is left. Considers only ready endpoints that are
/// not ejected, evacuated or tried; falls back to ejected ones when no others are left. Null when
/// there is none.
[[nodiscard]] const endpoint* choose_endpoint(const choice_input& input, load_table& loads,
                                              instant now, random_source& random);

/// Chooses the service for one call of a route by the weights of its split.
[[nodiscard]] service_id choose_service(const route& target, random_source& random);

/// Shortest expected wait at any endpoint that may take the call, by the gates' recent reports;
/// nothing when no endpoint may take it.
[[nodiscard]] std::optional<microseconds> least_wait(const choice_input& input,
                                                     const load_table& loads, instant now);

/// Whether the endpoint is believed to have a free slot.
[[nodiscard]] bool has_room(const endpoint& candidate, const endpoint_load& load, instant now);

} // namespace cyclamenhatch::call
