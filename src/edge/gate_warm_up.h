#pragma once

#include "edge/gate_side.h"

#include <optional>

/// Connects the gate's warm-up limit to the configuration and the log.
namespace cyclamenhatch::edge {

/// Applies what the configuration states about cold upstreams of the announced service.
/// Precondition: the lock is held.
[[nodiscard]] call::gate_actions apply_warm_up_terms(gate_side& side, instant now);

/// Operators have withdrawn the evacuation of this data centre, so that the upstream may be cold.
/// Precondition: the lock is held.
void note_withdrawn_evacuation(gate_side& side, instant now);

/// The event to log when the upstream has become cold or warm. Precondition: the lock is held.
[[nodiscard]] std::optional<log_event> watch_cold(gate_side& side, instant now);

/// Precondition: the lock is not held.
void log_cold(const gate_side& side, const std::optional<log_event>& event);

} // namespace cyclamenhatch::edge
