#include "admin/api.h"
#include "admin/announcement_reader.h"
#include "admin/move_report.h"
#include "admin/problem.h"
#include "admin/quarantine_page.h"
#include "admin/resource_lookup.h"
#include "admin/resource_write.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace cyclamenhatch::admin {
namespace {

constexpr std::size_t max_operation_length = 128;
constexpr milliseconds not_ready_retry{1000};

using path_view = std::vector<std::string>;

std::string find_header(const api_request& request, const std::string& name) {
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? std::string() : it->second;
}

bool has_path(const api_request& request, const path_view& path) {
    return request.path == path;
}

bool is_public(const api_request& request) {
    return has_path(request, {"v1", "health"}) || has_path(request, {"v1", "upstream"});
}

/// The time taken depends only on the lengths.
bool is_equal_in_constant_time(std::string_view actual, std::string_view expected) {
    std::size_t difference = actual.size() ^ expected.size();
    for (std::size_t i = 0; i < actual.size(); ++i) {
        const auto expected_char = expected.empty() ? '\0' : expected[i % expected.size()];
        difference |=
            static_cast<unsigned char>(actual[i]) ^ static_cast<unsigned char>(expected_char);
    }
    return difference == 0;
}

bool is_valid_operation_id(std::string_view text) {
    return !text.empty() && text.size() <= max_operation_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '-' || character == '_' ||
                      character == '.';
           });
}

api_response make_not_ready() {
    return make_problem({.status = 503,
                         .detail = "this node does not yet hold a current configuration",
                         .outcome = "not-run",
                         .retry_after = not_ready_retry});
}

bool is_ready(const backend& node) {
    return node.configuration() && (!node.is_ready || node.is_ready());
}

api_response show_operation(const api_context& context, const operation_id& operation) {
    auto version = find_operation(*context.node.configuration(), operation);
    for (const auto& progress : context.node.progress()) {
        if (std::find(progress.operations.begin(), progress.operations.end(), operation) !=
            progress.operations.end()) {
            version = std::max(version.value_or(progress.version), progress.version);
        }
    }
    document::table body{{"operation", operation.value},
                         {"outcome", version ? "accepted" : "unknown"}};
    if (version) {
        body.push_back({"version", static_cast<std::int64_t>(version->value)});
    }
    return make_json(200, document(std::move(body)));
}

api_response show_health(const api_context& context) {
    if (!is_ready(context.node)) {
        return make_not_ready();
    }
    const auto config = context.node.configuration();
    return make_json(
        200, document(document::table{
                 {"status", "ok"}, {"version", static_cast<std::int64_t>(config->version.value)}}));
}

bool is_local_address(const api_context& context, const std::string& ip) {
    return ip == context.own_ip || ip.starts_with("127.") || ip == "::1";
}

api_response make_announcement_response(bool is_confirmed) {
    if (!is_confirmed) {
        return make_problem({.status = 503,
                             .detail = "the leave is not stored yet; announce it again",
                             .outcome = "unknown"});
    }
    return make_json(200, document(document::table{{"outcome", "accepted"}}));
}

/// Takes an announcement. Returns the response when it is refused.
std::optional<api_response> take_announcement(const api_context& context,
                                              const api_request& request) {
    if (!is_local_address(context, request.remote_ip)) {
        return make_problem(
            {.status = 403, .detail = "only the upstream on this node's host may announce itself"});
    }
    const auto parsed = parse_json(request.body, "");
    if (const auto* problems = std::get_if<findings>(&parsed)) {
        return make_problem(
            {.status = 400, .detail = "the body is not JSON", .problems = *problems});
    }
    const auto read = read_announcement(std::get<document>(parsed));
    const auto* announced = std::get_if<announcement>(&read);
    const auto problems =
        announced == nullptr ? std::get<findings>(read) : context.node.announce(*announced);
    if (!problems.empty()) {
        return make_problem(
            {.status = 422, .detail = "the announcement is not valid", .problems = problems});
    }
    return std::nullopt;
}

void handle_announcement(const api_context& context, const api_request& request,
                         reply_function reply) {
    if (auto refusal = take_announcement(context, request)) {
        reply(std::move(*refusal));
        return;
    }
    if (!context.node.when_confirmable) {
        reply(make_announcement_response(true));
        return;
    }
    context.node.when_confirmable([reply = std::move(reply)](bool is_confirmed) {
        reply(make_announcement_response(is_confirmed));
    });
}

/// The page about the node itself that the path names; nothing for other paths.
std::optional<api_response> show_page(const api_context& context, const api_request& request) {
    if (has_path(request, {"metrics"})) {
        const auto extra = context.extra_metrics ? context.extra_metrics() : std::string();
        return api_response{.content_type = "text/plain; version=0.0.4",
                            .body = context.node.metrics() + extra};
    }
    if (request.path.size() != 2) {
        return std::nullopt;
    }
    const auto& page = request.path[1];
    if (page == "health") {
        return show_health(context);
    }
    if (page == "status") {
        return make_json(200, context.node.status());
    }
    if (page == "dump") {
        return make_json(200, context.node.dump());
    }
    if (page == "usage") {
        return make_json(200, context.node.usage());
    }
    if (page == "move-status") {
        return make_json(
            200, document(document::table{{"move", describe_moves(context.node.move_statuses())}}));
    }
    return std::nullopt;
}

/// The resource key in a path such as v1/routes/SERVICE/NAME or v1/workspaces/NAME.
std::optional<store::resource_key> read_key(const path_view& path, store::resource_kind kind) {
    if (kind == store::resource_kind::service) {
        return path.size() == 3
                   ? std::optional(store::resource_key{kind, service_id{path[2]}, path[2]})
                   : std::nullopt;
    }
    if (kind == store::resource_kind::workspace) {
        return path.size() == 3
                   ? std::optional(store::resource_key{kind, fleet_section_name(), path[2]})
                   : std::nullopt;
    }
    return path.size() == 4 ? std::optional(store::resource_key{kind, service_id{path[2]}, path[3]})
                            : std::nullopt;
}

api_response get_resource(const snapshot& config, const store::resource_key& key) {
    const auto resource = find_resource(config, key);
    if (!resource) {
        return make_not_found("no such resource");
    }
    auto response = make_json(200, resource->body);
    response.headers["ETag"] = "\"" + std::to_string(resource->revision.value) + "\"";
    return response;
}

api_response get_list(const snapshot& config, const path_view& path, store::resource_kind kind) {
    const bool is_service_given = path.size() == 3;
    if (path.size() > 3) {
        return make_not_found("no such path");
    }
    document::table body{
        {"version", static_cast<std::int64_t>(config.version.value)},
        {std::string(kind_name(kind)),
         list_resources(config, kind, service_id{is_service_given ? path[2] : std::string()})}};
    return make_json(200, document(std::move(body)));
}

api_response get_all(const snapshot& config) {
    auto body = list_all_resources(config);
    auto& members = std::get<document::table>(body.value);
    members.insert(members.begin(), {"version", static_cast<std::int64_t>(config.version.value)});
    return make_json(200, body);
}

void handle_resource(const write_call& call, store::resource_kind kind) {
    const auto& request = call.request;
    const auto key = read_key(request.path, kind);
    if (request.method == "GET") {
        const auto config = call.context.node.configuration();
        call.reply(key ? get_resource(*config, *key) : get_list(*config, request.path, kind));
    } else if (!key) {
        call.reply(request.path.size() < 4 ? make_not_allowed("GET")
                                           : make_not_found("no such path"));
    } else if (request.method == "PUT") {
        put_resource(call, *key);
    } else if (request.method == "DELETE") {
        delete_resource(call, *key);
    } else {
        call.reply(make_not_allowed("GET, PUT, DELETE"));
    }
}

bool is_cancel(const api_request& request) {
    return request.path.size() == 5 && request.path[1] == "moves" && request.path[4] == "cancel";
}

/// Handles paths below /v1 that need a configuration.
void handle_configuration(const write_call& call) {
    const auto& request = call.request;
    const auto kind = find_kind(request.path[1]);
    if (has_path(request, {"v1", "resources"})) {
        call.reply(request.method == "GET" ? get_all(*call.context.node.configuration())
                                           : make_not_allowed("GET"));
    } else if (has_path(request, {"v1", "apply"})) {
        request.method == "POST" ? apply_resources(call) : call.reply(make_not_allowed("POST"));
    } else if (request.path.size() == 3 && request.path[1] == "operations") {
        call.reply(request.method == "GET"
                       ? show_operation(call.context, operation_id{request.path[2]})
                       : make_not_allowed("GET"));
    } else if (is_cancel(request)) {
        request.method == "POST"
            ? cancel_move(call, service_id{request.path[2]}, move_id{request.path[3]})
            : call.reply(make_not_allowed("POST"));
    } else if (kind) {
        handle_resource(call, *kind);
    } else {
        call.reply(make_not_found("no such path"));
    }
}

/// Checks that apply to every path; returns the refusal, or nothing when all pass.
std::optional<api_response> check_request(const api_context& context, const api_request& request) {
    if (!is_authorised(context, request)) {
        return make_unauthorised();
    }
    if (request.body.size() > max_body_bytes) {
        return make_problem(
            {.status = 413,
             .detail = "the body is longer than " + std::to_string(max_body_bytes) + " bytes",
             .outcome = "not-run"});
    }
    const auto operation = find_header(request, operation_header);
    if (!operation.empty() && !is_valid_operation_id(operation)) {
        return make_problem(
            {.status = 400,
             .detail = "malformed operation id",
             .problems = {{.path = operation_header,
                           .problem = "is not an operation id",
                           .remedy = "use 1 to 128 letters, digits, '-', '_' or '.'"}},
             .outcome = "not-run"});
    }
    return std::nullopt;
}

} // namespace

bool is_authorised(const api_context& context, const api_request& request) {
    constexpr std::string_view scheme = "Bearer ";
    if (context.token.empty() || is_public(request)) {
        return true;
    }
    const auto header = find_header(request, "authorization");
    return header.starts_with(scheme) &&
           is_equal_in_constant_time(std::string_view(header).substr(scheme.size()), context.token);
}

api_response make_unauthorised() {
    auto response = make_problem({.status = 401,
                                  .detail = "the request needs the operators' bearer token",
                                  .outcome = "not-run"});
    response.headers["WWW-Authenticate"] = "Bearer";
    return response;
}

bool is_watch(const api_request& request) {
    return request.method == "GET" && has_path(request, {"v1", "watch"});
}

void handle(const api_context& context, const api_request& request, instant now,
            const operation_id& fallback_id, reply_function reply) {
    if (auto refusal = check_request(context, request)) {
        reply(std::move(*refusal));
        return;
    }
    if (has_path(request, {"v1", "upstream"})) {
        if (request.method == "POST") {
            handle_announcement(context, request, std::move(reply));
        } else {
            reply(make_not_allowed("POST"));
        }
        return;
    }
    if (is_quarantine_path(request)) {
        reply(handle_quarantine(context, request));
        return;
    }
    if (auto page = show_page(context, request)) {
        reply(request.method == "GET" ? std::move(*page) : make_not_allowed("GET"));
        return;
    }
    if (request.path.size() < 2 || request.path[0] != "v1") {
        reply(make_not_found("no such path"));
        return;
    }
    if (!is_ready(context.node)) {
        reply(make_not_ready());
        return;
    }
    const auto requested_id = find_header(request, operation_header);
    handle_configuration(
        {.context = context,
         .request = request,
         .now = now,
         .operation = requested_id.empty() ? fallback_id : operation_id{requested_id},
         .reply = std::move(reply)});
}

} // namespace cyclamenhatch::admin
