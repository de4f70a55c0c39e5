#pragma once

#include "edge/gate_side.h"

namespace cyclamenhatch::edge {

/// Applies a configuration to the gate when it is another one than before; null is ignored.
/// Precondition: the lock is held.
[[nodiscard]] call::gate_actions apply_config(gate_side& side, const snapshot_ptr& config,
                                              instant now);

} // namespace cyclamenhatch::edge
