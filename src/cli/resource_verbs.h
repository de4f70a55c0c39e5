#pragma once

#include "cli/command.h"
#include "cli/environment.h"

namespace cyclamenhatch::cli {

[[nodiscard]] exit_code run(const environment& env, const get_command& options);
[[nodiscard]] exit_code run(const environment& env, const apply_command& options);
[[nodiscard]] exit_code run(const environment& env, const delete_command& options);
[[nodiscard]] exit_code run(const environment& env, const watch_command& options);
[[nodiscard]] exit_code run(const environment& env, const page_command& options);
[[nodiscard]] exit_code run(const environment& env, const operation_command& options);

} // namespace cyclamenhatch::cli
