#pragma once

#include "cli/command.h"
#include "cli/environment.h"
#include "document/document.h"

#include <optional>

/// Requests to a node, and the exit codes that its answers lead to. Shared by the verbs.
namespace cyclamenhatch::cli {

/// The body of a successful answer, or the exit code after the error was printed.
using session_result = std::variant<document, exit_code>;

/// Sends a GET request.
[[nodiscard]] session_result
query_node(const environment& env, const connection_options& connection, const std::string& path);

/// A request that changes something.
struct change_request {
    std::string method;
    std::string path;
    std::string body;
    /// Entity tag for If-Match; empty for none.
    std::string if_match;
    operation_id operation;
};

/// Sends a change. When its answer is lost, queries the outcome of the operation once.
[[nodiscard]] session_result send_change(const environment& env,
                                         const connection_options& connection,
                                         const change_request& request);

/// Follows the node's event stream until the version is in force on every node. Returns unknown
/// when the stream ends first or `timeout`, checked at each line, has passed.
[[nodiscard]] exit_code wait_until_in_force(const environment& env,
                                            const connection_options& connection,
                                            std::int64_t version, seconds timeout);

/// Prints events until the stream ends. A negative `after` starts after the current version.
[[nodiscard]] exit_code follow_events(const environment& env, const connection_options& connection,
                                      std::int64_t after);

/// Prints findings to the error stream, one a line; returns refused.
exit_code report_findings(const environment& env, const findings& problems);

/// The operation id that the operator gave, or a new one when `given` is empty.
[[nodiscard]] operation_id choose_operation(const environment& env, const std::string& given);

/// Percent-encodes one segment of a path.
[[nodiscard]] std::string encode_segment(std::string_view text);

} // namespace cyclamenhatch::cli
