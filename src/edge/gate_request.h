#pragma once

#include "call/gate.h"

#include <optional>

namespace cyclamenhatch::edge {

/// What the gate decides by, from a call_open that arrived from `sender` at `now`. `held_for` is
/// how long its request is still held, `link_delay` how long the message waited on its link.
[[nodiscard]] call::gate_request read_open(const msg::call_open_msg& message, const node_id& sender,
                                           std::optional<milliseconds> held_for,
                                           microseconds link_delay, instant now);

} // namespace cyclamenhatch::edge
