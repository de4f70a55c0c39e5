#pragma once

#include "cli/transport.h"
#include "model/finding.h"
#include "model/ids.h"
#include "settings_generated.h"

#include <functional>
#include <ostream>
#include <string>

namespace cyclamenhatch::cli {

/// Exit codes of the program.
enum class exit_code : int {
    done = 0,
    /// Refused, with findings or a reason.
    refused = 1,
    usage = 2,
    not_reachable = 3,
    /// The change may or may not have been made, or is not yet known to be in force.
    unknown = 4,
};

/// All that verbs touch outside themselves.
struct environment {
    transport http;
    std::ostream& out;
    std::ostream& err;
    std::function<result<std::string>(const std::string& path)> read_file;
    std::function<instant()> now;
    std::function<operation_id()> make_operation;
    /// Runs a node until it is told to stop; returns the exit code. The second argument reads the
    /// settings again.
    std::function<int(const msg::settings_msg&, const std::function<result<msg::settings_msg>()>&)>
        run_node;
};

} // namespace cyclamenhatch::cli
