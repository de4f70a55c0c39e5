#pragma once

#include "model/ids.h"
#include "model/time.h"

#include <map>

/// Tells calls of callers that come back after an earlier attempt from first attempts, by the time
/// that they have left. Their objective counts from the first attempt, so most of them have lost it
/// and go behind calls that can still meet theirs. Pure.
namespace cyclamenhatch::call {

/// The longest times left that calls of one route have stated of late.
struct stated_times {
    /// In the window under way and in the one before it.
    microseconds longest{0};
    microseconds longest_before{0};
    instant window_begun{};
};

/// Not thread safe; the entry's holder guards it.
using stated_times_table = std::map<route_id, stated_times>;

/// Books the time left that a call states, and estimates how much of the caller's time earlier
/// attempts have taken: zero for a first attempt. A call that is not the first on its connection is
/// one, as callers repeat calls on new connections.
[[nodiscard]] microseconds estimate_spent(stated_times_table& known, const route_id& route,
                                          microseconds left, bool is_first_on_connection,
                                          instant now);

/// Forgets routes without calls for long.
void forget_idle(stated_times_table& known, instant now);

} // namespace cyclamenhatch::call
