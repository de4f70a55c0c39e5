#pragma once

#include "cli/command.h"
#include "cli/environment.h"

namespace cyclamenhatch::cli {

[[nodiscard]] exit_code run(const environment& env, const check_command& options);
[[nodiscard]] exit_code run(const environment& env, const version_command& options);
/// Also returns refused when the node could not start.
[[nodiscard]] exit_code run(const environment& env, const node_command& options);

} // namespace cyclamenhatch::cli
