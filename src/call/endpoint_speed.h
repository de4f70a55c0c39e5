#pragma once

#include "call/load_table.h"

#include <map>

/// When a call that is sent now is expected to end at an endpoint. Pure functions.
///
/// The load that this answers: upstreams of different speeds, some of which take several times as
/// long for a fraction of a second, called on routes of very different run times.
namespace cyclamenhatch::call {

/// Mean run times of the routes over all endpoints, at their usual pace. Not thread safe.
using route_times = std::map<route_id, microseconds>;

/// An answer as the entry saw it.
struct timed_answer {
    /// Time from dispatch to the answer's head, as the gate measured it.
    microseconds run_time{0};
    /// Time on the links and in the queues of the two nodes.
    microseconds way{0};
};

/// Records how long an endpoint took for a call. Call it after note_report().
void note_answer_time(route_times& times, endpoint_load& load, const route_id& route,
                      const timed_answer& answer, instant now);

/// Whether the endpoint has stated lately that its pace is not the usual one.
[[nodiscard]] bool states_pace(const endpoint_load& load, instant now);

/// Expected run time of a call of the route: the route's usual time, by the endpoint's speed and
/// its pace now. The endpoint's latency while the route has no measured time.
[[nodiscard]] microseconds expected_run(const endpoint_load& load, const route_times& times,
                                        const route_id& route, instant now);

/// Expected time until the answer to a call that is sent now.
[[nodiscard]] microseconds expected_end(const endpoint& target, const endpoint_load& load,
                                        const route_times& times, const route_id& route,
                                        instant now);

} // namespace cyclamenhatch::call
