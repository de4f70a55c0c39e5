#pragma once

#include "node/run_node.h"

namespace cyclamenhatch::node {

/// Runs a node on the deployment platform, all on the calling thread, until SIGTERM or SIGINT and
/// the orderly end that follows. SIGHUP, or a change of the settings without one, reloads what may
/// change while the node runs. Returns the exit code.
[[nodiscard]] int run_on_loop(const msg::settings_msg& settings, const settings_reader& reread);

} // namespace cyclamenhatch::node
