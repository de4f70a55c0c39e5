#pragma once

#include "model/time.h"

#include <optional>

/// Measures how long messages wait on a link although the clocks of its two hosts differ.
namespace cyclamenhatch::wire {

/// The smallest differences between the receiver's and the sender's clock: the offset of the clocks
/// plus the time that a message takes when nothing delays it. Two windows, so that clocks may
/// drift. Plain data; the caller serialises access.
struct transit_delay {
    std::optional<microseconds> least;
    std::optional<microseconds> previous_least;
    microseconds window_started{0};
};

/// Notes a message and returns how much longer than the fastest one of the last 10 to 20 s it took.
/// `sent` and `received` are the time_since_boot of the two hosts; a `sent` of 0 is unknown, and
/// the delay is then 0.
microseconds note_arrival(transit_delay& transit, microseconds sent, microseconds received);

} // namespace cyclamenhatch::wire
