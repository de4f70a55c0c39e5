#pragma once

#include "scenarios/cluster.h"
#include "scenarios/script.h"

#include <string>

/// The commands and expectations of the scenario language.
namespace cyclamenhatch::scenarios {

/// Runs a command. Throws an exception derived from std::exception when the command is unknown or
/// its arguments are wrong.
void run_command(cluster& sim, const words& command);

/// Returns why an expectation does not hold now, or an empty string when it holds. Throws as
/// run_command does.
[[nodiscard]] std::string check_expectation(const cluster& sim, const words& expectation);

} // namespace cyclamenhatch::scenarios
