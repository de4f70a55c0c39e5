#pragma once

#include "cli/environment.h"

#include <string>
#include <vector>

namespace cyclamenhatch::cli {

/// Runs the program. `arguments` do not include its name. Never throws: an exception of a verb is
/// printed and returned as refused.
[[nodiscard]] exit_code run_command_line(const environment& env,
                                         const std::vector<std::string>& arguments);

} // namespace cyclamenhatch::cli
