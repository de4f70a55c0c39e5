#pragma once

#include "cli/command.h"
#include "cli/environment.h"

namespace cyclamenhatch::cli {

[[nodiscard]] exit_code run(const environment& around, const check_command& asked);
[[nodiscard]] exit_code run(const environment& around, const version_command& asked);
/// Returns refused when the node could not start, too.
[[nodiscard]] exit_code run(const environment& around, const node_command& asked);

} // namespace cyclamenhatch::cli
