#pragma once

#include "admin/api.h"

#include <string>

namespace cyclamenhatch::admin {

/// An error as RFC 7807 describes it.
struct problem {
    int status = 500;
    std::string detail;
    findings found;
    /// not-run or unknown; empty for requests that change nothing.
    std::string outcome;
    operation_id operation;
    milliseconds retry_after{0};
};

/// An application/problem+json response with all findings.
[[nodiscard]] api_response make_problem(const problem& from);

/// A JSON response.
[[nodiscard]] api_response make_json(int status, const document& body);

} // namespace cyclamenhatch::admin
