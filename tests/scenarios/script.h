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
    /// "at 5s expect held 2": holds then.
    expect_at,
    /// "from 5s by 8s expect held 2": holds at some time in between.
    expect_by,
    /// "from 5s to 8s expect held 2": holds all the time.
    expect_during,
};

struct script_step {
    step_kind kind = step_kind::setup;
    milliseconds from{0};
    milliseconds to{0};
    /// The command and its arguments.
    words command;
    int line = 0;
};

struct script {
    std::uint64_t seed = 1;
    std::vector<script_step> steps;
    milliseconds length{0};
    /// "line 3: ..." for each line that can't be read.
    std::vector<std::string> errors;
};

/// Reads a file; `extra` is a set-up command that is put before its first line.
[[nodiscard]] script read_script(const std::string& path, const std::string& extra = {});

/// "250ms", "3s" or "2m"; throws std::invalid_argument for anything else.
[[nodiscard]] milliseconds read_duration(const std::string& text);

} // namespace cyclamenhatch::scenarios
