#pragma once

#include "admin/api.h"

#include <string>

namespace cyclamenhatch::admin {

/// An error response as defined by RFC 7807.
struct problem {
    int status = 500;
    std::string detail;
    findings problems;
    /// Outcome of the operation: not-run or unknown; empty for requests that change nothing.
    std::string outcome;
    operation_id operation;
    milliseconds retry_after{0};
};

/// Returns an application/problem+json response with all findings.
[[nodiscard]] api_response make_problem(const problem& error);

/// The response to a request whose path takes only the `allowed` methods.
[[nodiscard]] api_response make_not_allowed(const std::string& allowed);

[[nodiscard]] api_response make_not_found(const std::string& detail);

/// Returns an application/json response.
[[nodiscard]] api_response make_json(int status, const document& body);

} // namespace cyclamenhatch::admin
