#pragma once

#include "cli/environment.h"

#include <string>
#include <vector>

namespace cyclamenhatch::cli {

/// Runs the program with arguments that leave out its name. Never throws.
[[nodiscard]] exit_code run_command_line(const environment& around,
                                         const std::vector<std::string>& arguments);

} // namespace cyclamenhatch::cli
