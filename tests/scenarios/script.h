#pragma once

#include "model/time.h"

#include <cstdint>
#include <string>
#include <vector>

/// The scenario language: one command a line, `#` starts a comment. Commands before the first
/// timed line set the cluster up. docs/design/scenarios.md lists the commands.
namespace cyclamenhatch::scenarios {

using words = std::vector<std::string>;

enum class step_kind {
    setup,
    /// "at 5s kill a1"
    action,
    /// "at 5s expect held 2": holds at that time.
    expect_at,
    /// "from 5s by 8s expect held 2": holds at some time in between.
    expect_by,
    /// "from 5s to 8s expect held 2": holds throughout.
    expect_during,
};

struct script_step {
    step_kind kind = step_kind::setup;
    /// Times since the start of the scenario; equal for action and expect_at, 0 for setup.
    milliseconds begin{0};
    milliseconds end{0};
    /// The command and its arguments.
    words command;
    int line = 0;
};

struct script {
    std::uint64_t seed = 1;
    std::vector<script_step> steps;
    /// Virtual time that the scenario takes.
    milliseconds length{0};
    /// "line 3: ..." for each line that cannot be parsed.
    std::vector<std::string> errors;
};

/// Parses a file. `extra` holds set-up commands, separated by ";", that are put before its first
/// line. Errors are returned in the script.
[[nodiscard]] script parse_script(const std::string& path, const std::string& extra = {});

/// Parses a duration such as "250ms", "3s" or "2m". Throws std::invalid_argument for other texts.
[[nodiscard]] milliseconds parse_duration(const std::string& text);

} // namespace cyclamenhatch::scenarios
