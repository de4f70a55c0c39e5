#include "admin/quarantine_page.h"

#include "admin/problem.h"

namespace cyclamenhatch::admin {
namespace {

api_response lift(const api_context& context, const std::string& text) {
    const auto digest = parse_request_digest(text);
    if (!digest) {
        return make_problem(
            {.status = 400, .detail = "a digest has 32 hexadecimal digits", .outcome = "not-run"});
    }
    if (!context.node.lift_hold(*digest)) {
        return make_not_found("no such request is suspected or held");
    }
    return make_json(
        200, document(document::table{{"outcome", "accepted"}, {"digest", to_text(*digest)}}));
}

} // namespace

bool is_quarantine_path(const api_request& request) {
    const bool is_below = request.path.size() == 2 || request.path.size() == 3;
    return is_below && request.path[0] == "v1" && request.path[1] == "quarantine";
}

api_response handle_quarantine(const api_context& context, const api_request& request) {
    if (request.path.size() == 2) {
        return request.method == "GET" ? make_json(200, context.node.quarantine())
                                       : make_not_allowed("GET");
    }
    return request.method == "DELETE" ? lift(context, request.path[2]) : make_not_allowed("DELETE");
}

} // namespace cyclamenhatch::admin
