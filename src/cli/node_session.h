#pragma once

#include "cli/command.h"
#include "cli/environment.h"
#include "document/document.h"

#include <optional>

/// Asking a node, and what its answers mean for the exit code. Shared by the verbs.
namespace cyclamenhatch::cli {

/// An answer in which the node said yes, or the exit code after its no was shown.
using session_result = std::variant<document, exit_code>;

/// Sends a request that changes nothing.
[[nodiscard]] session_result ask(const environment& around, const connection& to,
                                 const std::string& path);

/// A request that changes something.
struct change_request {
    std::string method;
    std::string path;
    std::string body;
    /// Empty for none; else the entity tag for If-Match.
    std::string if_match;
    operation_id operation;
};

/// Sends a change. When its answer is lost, asks once what became of the operation.
[[nodiscard]] session_result change(const environment& around, const connection& to,
                                    const change_request& request);

/// Reads a version's being in force from the node's event stream.
[[nodiscard]] exit_code wait_until_in_force(const environment& around, const connection& to,
                                            std::int64_t version, seconds timeout);

/// Shows events until the stream ends.
[[nodiscard]] exit_code follow_events(const environment& around, const connection& to,
                                      std::int64_t after);

/// Shows findings, one a line; returns refused.
exit_code refuse(const environment& around, const findings& found);

/// The operation that the operator named, or a new one.
[[nodiscard]] operation_id settle_operation(const environment& around, const std::string& given);

/// Encodes one segment of a path.
[[nodiscard]] std::string encode_segment(std::string_view text);

} // namespace cyclamenhatch::cli
