#pragma once

#include "call/recent_longest.h"
#include "model/ids.h"

#include <map>

/// Distinguishes callers' retries from first attempts by the time that they have left. The
/// objective counts from the first attempt, so most retries have missed it and rank behind calls
/// that can still meet theirs.
namespace cyclamenhatch::call {

/// Longest times left that recent calls have stated. Not thread safe; the holder of the entry
/// serialises access.
using stated_times_table = std::map<route_id, recent_longest>;

/// Records the time left that a call states, and estimates the time that the caller's earlier
/// attempts took: zero for a first attempt. A call that is not the first on its connection counts
/// as a first attempt, since callers retry on new connections.
[[nodiscard]] microseconds estimate_time_spent(stated_times_table& times_by_route,
                                               const route_id& route, microseconds left,
                                               bool is_first_on_connection, instant now);

/// Forgets routes that are idle.
void forget_idle(stated_times_table& times_by_route, instant now);

} // namespace cyclamenhatch::call
