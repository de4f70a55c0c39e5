#pragma once

#include "model/time.h"

namespace cyclamenhatch {

/// Current time of this process: the wall clock at the first call, advanced by the steady clock. It
/// never runs backwards; a pause of the process appears as a jump. All code that does I/O reads
/// this clock; decision code takes the time as an argument. Thread safe.
[[nodiscard]] instant current_time();

} // namespace cyclamenhatch
