#include "admin/problem.h"
#include "document/schema_reader.h"

namespace cyclamenhatch::admin {
namespace {

std::string_view title_of(int status) {
    switch (status) {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Payload Too Large";
    case 422:
        return "Unprocessable Entity";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Internal Server Error";
    }
}

/// Retry-After counts whole seconds.
std::string to_whole_seconds(milliseconds delay) {
    return std::to_string(std::chrono::ceil<seconds>(delay).count());
}

} // namespace

api_response make_problem(const problem& error) {
    document::table body{{"type", "about:blank"},
                         {"title", std::string(title_of(error.status))},
                         {"status", std::int64_t{error.status}},
                         {"detail", error.detail}};
    if (!error.outcome.empty()) {
        body.push_back({"outcome", error.outcome});
    }
    if (!error.operation.empty()) {
        body.push_back({"operation", error.operation.value});
    }
    if (error.retry_after > milliseconds{0}) {
        body.push_back({"retry_after_ms", std::int64_t{error.retry_after.count()}});
    }
    if (!error.problems.empty()) {
        body.push_back({"findings", write_findings(error.problems)});
    }
    auto response = make_json(error.status, document(std::move(body)));
    response.content_type = "application/problem+json";
    if (error.retry_after > milliseconds{0}) {
        response.headers["Retry-After"] = to_whole_seconds(error.retry_after);
    }
    return response;
}

api_response make_json(int status, const document& body) {
    return {.status = status, .body = write_json(body) + "\n"};
}

api_response make_not_allowed(const std::string& allowed) {
    auto response = make_problem({.status = 405, .detail = "use " + allowed});
    response.headers["Allow"] = allowed;
    return response;
}

api_response make_not_found(const std::string& detail) {
    return make_problem({.status = 404, .detail = detail});
}

} // namespace cyclamenhatch::admin
