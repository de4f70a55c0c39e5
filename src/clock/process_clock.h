#pragma once

#include "model/time.h"

namespace cyclamenhatch {

/// The present time of this process: the wall clock at its first use, carried on by the steady
/// clock. It never runs backwards, and a pause of the process shows as a jump. All parts that touch
/// the outside read this one clock; decisions are given the time. Thread safe.
[[nodiscard]] instant current_time();

} // namespace cyclamenhatch
