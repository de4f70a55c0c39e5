#pragma once

#include "scenarios/script.h"

#include <string>
#include <vector>

namespace cyclamenhatch::scenarios {

/// Runs a script in virtual time. Returns what was wrong: expectations that did not hold,
/// invariants that broke, commands that make no sense. Stops at the first.
[[nodiscard]] std::vector<std::string> run_script(const script& read);

} // namespace cyclamenhatch::scenarios
