#pragma once

#include "model/time.h"

namespace cyclamenhatch::node {

/// The node's time: the wall clock at start plus the steady clock since. Never runs backwards; a
/// pause of the process shows as a jump. Thread safe.
[[nodiscard]] instant now();

} // namespace cyclamenhatch::node
