#pragma once

#include "cli/command.h"
#include "cli/environment.h"

namespace cyclamenhatch::cli {

[[nodiscard]] exit_code run(const environment& env, const move_start_command& options);
[[nodiscard]] exit_code run(const environment& env, const move_status_command& options);
[[nodiscard]] exit_code run(const environment& env, const move_cancel_command& options);

} // namespace cyclamenhatch::cli
