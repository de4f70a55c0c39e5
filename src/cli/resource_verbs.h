#pragma once

#include "cli/command.h"
#include "cli/environment.h"

namespace cyclamenhatch::cli {

[[nodiscard]] exit_code run(const environment& around, const get_command& asked);
[[nodiscard]] exit_code run(const environment& around, const apply_command& asked);
[[nodiscard]] exit_code run(const environment& around, const delete_command& asked);
[[nodiscard]] exit_code run(const environment& around, const watch_command& asked);
[[nodiscard]] exit_code run(const environment& around, const page_command& asked);
[[nodiscard]] exit_code run(const environment& around, const operation_command& asked);

} // namespace cyclamenhatch::cli
