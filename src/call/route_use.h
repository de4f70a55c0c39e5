#pragma once

#include "model/ids.h"
#include "model/time.h"

#include <cstdint>
#include <map>

/// Use of an upstream by the calls of each route: run time and slots in use.
namespace cyclamenhatch::call {

/// One route's calls at one upstream.
struct route_use {
    /// Time from dispatch to answer, smoothed; zero before the first answer.
    microseconds run_time{0};
    std::uint32_t running = 0;
    /// Number of calls running at once, averaged over recent time.
    double mean_running = 0;
    /// Queue rank of the route's last call.
    int rank = 0;
    instant counted_until{};
};

/// Not thread safe; the holder of the gate serialises access.
using route_uses = std::map<route_id, route_use>;

/// Records the run time of an answered call.
void note_run(route_uses& uses, const route_id& route, microseconds duration);

/// Records the queue rank of a call of the route that arrived.
void note_rank(route_uses& uses, const route_id& route, int rank);

/// Record that a call of the route starts or ends.
void note_start(route_uses& uses, const route_id& route, instant now);
void note_stop(route_uses& uses, const route_id& route, instant now);

/// Mean number of slots recently used by calls with lower ranks than this one.
[[nodiscard]] double slots_before(const route_uses& uses, int rank, instant now);

/// Forgets routes that have had no call for a minute.
void forget_idle(route_uses& uses, instant now);

} // namespace cyclamenhatch::call
