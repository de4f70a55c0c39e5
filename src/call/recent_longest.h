#pragma once

#include "model/time.h"

namespace cyclamenhatch::call {

/// The longest of the times noted in the last 10 to 20 s. Plain data; the caller serialises access.
struct recent_longest {
    /// In the current window and in the one before it.
    microseconds longest{0};
    microseconds longest_before{0};
    instant window_start{};
};

void note(recent_longest& times, microseconds time, instant now);

/// Zero when nothing was noted.
[[nodiscard]] microseconds longest_of(const recent_longest& times);

/// Whether the last window began more than two windows ago.
[[nodiscard]] bool is_stale(const recent_longest& times, instant now);

} // namespace cyclamenhatch::call
