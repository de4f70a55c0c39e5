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
    /// The request or the input was refused; findings or a reason were printed.
    refused = 1,
    usage = 2,
    not_reachable = 3,
    /// The change may or may not have been made, or is not yet known to be in force.
    unknown = 4,
};

/// Access of the verbs to the outside world; tests replace it with fakes.
struct environment {
    transport http;
    std::ostream& out;
    std::ostream& err;
    std::function<result<std::string>(const std::string& path)> read_file;
    std::function<instant()> now;
    std::function<operation_id()> make_operation;
    /// Runs a node until it is asked to stop; returns the process exit code. The second argument
    /// reloads the settings file.
    std::function<int(const msg::settings_msg&, const std::function<result<msg::settings_msg>()>&)>
        run_node;
};

} // namespace cyclamenhatch::cli
