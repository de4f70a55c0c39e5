#pragma once

#include "cli/command.h"
#include "cli/environment.h"

namespace cyclamenhatch::cli {

[[nodiscard]] exit_code run(const environment& around, const move_start_command& asked);
[[nodiscard]] exit_code run(const environment& around, const move_status_command& asked);
[[nodiscard]] exit_code run(const environment& around, const move_cancel_command& asked);

} // namespace cyclamenhatch::cli
