#pragma once

#include "scenarios/script.h"

#include <string>
#include <vector>

namespace cyclamenhatch::scenarios {

/// Runs a script in virtual time and stops at the first time step with a failure. Returns the
/// failures: errors of the script, expectations that did not hold, broken invariants and commands
/// that could not be run. Empty when the scenario passed.
[[nodiscard]] std::vector<std::string> run_script(const script& scenario);

} // namespace cyclamenhatch::scenarios
