#pragma once

#include "settings_generated.h"

namespace cyclamenhatch::node {

/// Runs one node until SIGTERM or SIGINT, then drains and leaves. Returns the exit code: 0 after an
/// orderly shutdown, 1 when it could not start.
[[nodiscard]] int run_node(const msg::settings_msg& settings);

} // namespace cyclamenhatch::node
