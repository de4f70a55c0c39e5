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
std::string to_whole_seconds(milliseconds time) {
    return std::to_string(std::chrono::ceil<seconds>(time).count());
}

} // namespace

api_response make_problem(const problem& from) {
    document::table body{{"type", "about:blank"},
                         {"title", std::string(title_of(from.status))},
                         {"status", std::int64_t{from.status}},
                         {"detail", from.detail}};
    if (!from.outcome.empty()) {
        body.push_back({"outcome", from.outcome});
    }
    if (!from.operation.empty()) {
        body.push_back({"operation", from.operation.value});
    }
    if (from.retry_after > milliseconds{0}) {
        body.push_back({"retry_after_ms", std::int64_t{from.retry_after.count()}});
    }
    if (!from.found.empty()) {
        body.push_back({"findings", write_findings(from.found)});
    }
    auto response = make_json(from.status, document(std::move(body)));
    response.content_type = "application/problem+json";
    if (from.retry_after > milliseconds{0}) {
        response.headers["Retry-After"] = to_whole_seconds(from.retry_after);
    }
    return response;
}

api_response make_json(int status, const document& body) {
    return {.status = status, .body = write_json(body) + "\n"};
}

} // namespace cyclamenhatch::admin
