#pragma once

#include "scenarios/cluster.h"
#include "scenarios/script.h"

#include <string>

/// The commands and expectations of the scenario language.
namespace cyclamenhatch::scenarios {

/// Carries out a command; throws std::exception with the reason when it makes no sense.
void run_command(cluster& all, const words& command);

/// What keeps an expectation from holding now; empty when it holds. Throws as run_command.
[[nodiscard]] std::string check_expectation(const cluster& all, const words& expectation);

} // namespace cyclamenhatch::scenarios
