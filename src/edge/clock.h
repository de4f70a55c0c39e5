#pragma once

#include "model/time.h"

namespace cyclamenhatch::edge {

/// The present time: the wall clock at the start of the process, carried on by the steady clock, so
/// that it never runs backwards. Thread safe.
[[nodiscard]] instant current_time();

} // namespace cyclamenhatch::edge
