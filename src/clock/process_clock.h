#pragma once

#include "model/time.h"

namespace cyclamenhatch {

/// Current time of this process: the wall clock at the first call, advanced by the steady clock. It
/// never runs backwards; a pause of the process appears as a jump. All code that does I/O reads
/// this clock; decision code takes the time as an argument. Thread safe.
[[nodiscard]] instant current_time();

/// Time since this host started, including time in which it was suspended. Two hosts differ by an
/// offset that stays the same until one of them starts again. Thread safe.
[[nodiscard]] microseconds time_since_boot();

} // namespace cyclamenhatch
