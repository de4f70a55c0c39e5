#pragma once

#include "node/run_node.h"

namespace cyclamenhatch::node {

/// Runs a node on the deployment platform, entirely on the calling thread, until it has drained
/// after SIGTERM or SIGINT. On SIGHUP, and when a periodic check finds changed settings, it reloads
/// the settings that may change while it runs. Returns the exit code.
[[nodiscard]] int run_on_loop(const msg::settings_msg& settings,
                              const settings_reader& read_settings);

} // namespace cyclamenhatch::node
