#pragma once

#include "model/finding.h"
#include "settings_generated.h"

#include <functional>

namespace cyclamenhatch::node {

/// Reads the settings again from their source.
using settings_reader = std::function<result<msg::settings_msg>()>;

/// Runs one node until SIGTERM or SIGINT, then drains and leaves. A node on the deployment platform
/// reloads its settings with `read_settings`, which may be empty. Returns the exit code: 0 after an
/// orderly shutdown, 1 when it could not start.
[[nodiscard]] int run_node(const msg::settings_msg& settings, const settings_reader& read_settings);

} // namespace cyclamenhatch::node
