#include "admin/resource_write.h"
#include "admin/problem.h"
#include "admin/resource_lookup.h"
#include "admin/shown_write.h"
#include "document/schema_reader.h"

#include <algorithm>
#include <charconv>

namespace cyclamenhatch::admin {
namespace {

constexpr milliseconds default_retry_after{1000};

std::string find_header(const api_request& request, const std::string& name) {
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? std::string() : it->second;
}

/// The revision in an entity tag such as "42", quotes included.
std::optional<config_version> read_etag(std::string_view tag) {
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    tag = tag.substr(1, tag.size() - 2);
    config_version revision;
    const auto* end = tag.data() + tag.size();
    const auto read = std::from_chars(tag.data(), end, revision.value);
    return read.ec == std::errc{} && read.ptr == end ? std::optional(revision) : std::nullopt;
}

void refuse(const write_call& call, problem error) {
    error.outcome = "not-run";
    error.operation = call.operation;
    auto response = make_problem(error);
    response.headers[operation_header] = call.operation.value;
    call.reply(std::move(response));
}

/// Preconditions from If-Match and If-None-Match, or a finding about a malformed one.
result<std::vector<store::precondition>> read_preconditions(const api_request& request,
                                                            const store::resource_key& key) {
    const auto match = find_header(request, "if-match");
    const auto none_match = find_header(request, "if-none-match");
    std::vector<store::precondition> preconditions;
    if (!none_match.empty()) {
        if (none_match != "*") {
            return findings{{.path = "If-None-Match",
                             .problem = "\"" + none_match + "\" is not supported",
                             .remedy = "use * to create a resource"}};
        }
        preconditions.push_back({key, std::nullopt});
    }
    if (!match.empty()) {
        const auto revision = read_etag(match);
        if (!revision) {
            return findings{{.path = "If-Match",
                             .problem = match + " is not a revision",
                             .remedy = "use the ETag of the resource, such as \"42\""}};
        }
        preconditions.push_back({key, revision});
    }
    return preconditions;
}

/// A write and the HTTP statuses of its outcomes.
struct write_plan {
    store::resource_write write;
    int accepted_status = 200;
    /// Status when the write conflicts with another change.
    int conflict_status = 409;
};

api_response make_accepted(const operation_id& operation, config_version version, int status) {
    auto response = make_json(
        status, document(document::table{{"outcome", "accepted"},
                                         {"operation", operation.value},
                                         {"version", static_cast<std::int64_t>(version.value)}}));
    response.headers["ETag"] = "\"" + std::to_string(version.value) + "\"";
    return response;
}

api_response make_refused(const operation_id& operation, const store::change_refused& refusal,
                          int conflict_status) {
    const bool is_conflict = refusal.kind == store::refusal_kind::conflict;
    return make_problem(
        {.status = is_conflict ? conflict_status : 422,
         .detail = is_conflict ? "another change came first" : "the change is not valid",
         .problems = refusal.problems,
         .outcome = "not-run",
         .operation = operation});
}

api_response make_response(const store::write_reply& reply, int accepted_status,
                           int conflict_status) {
    if (const auto* accepted = std::get_if<store::write_accepted>(&reply.outcome)) {
        return make_accepted(reply.operation, accepted->version, accepted_status);
    }
    if (const auto* refused = std::get_if<store::change_refused>(&reply.outcome)) {
        return make_refused(reply.operation, *refused, conflict_status);
    }
    if (const auto* not_run = std::get_if<store::write_not_run>(&reply.outcome)) {
        return make_problem({.status = 503,
                             .detail = not_run->reason,
                             .outcome = "not-run",
                             .operation = reply.operation,
                             .retry_after = std::max(not_run->retry_after, default_retry_after)});
    }
    return make_problem({.status = 504,
                         .detail = "the change may or may not have been made; ask at "
                                   "/v1/operations/" +
                                   reply.operation.value,
                         .outcome = "unknown",
                         .operation = reply.operation});
}

void submit(const write_call& call, write_plan plan) {
    store::write_request request{.operation = call.operation,
                                 .requested_change = std::move(plan.write),
                                 .deadline = call.now + call.context.write_deadline};
    call.context.node.write(
        std::move(request),
        [reply = call.reply, operation = call.operation, accepted_status = plan.accepted_status,
         conflict_status = plan.conflict_status](store::write_reply result) {
            result.operation = operation;
            auto response = make_response(result, accepted_status, conflict_status);
            response.headers[operation_header] = operation.value;
            reply(std::move(response));
        });
}

std::string element_prefix(const store::resource_key& key) {
    return std::string(kind_name(key.kind)) + "[0].";
}

/// Sets a field that the body omits to its value in the path; a different value is a finding.
void set_or_check_field(document& body, const std::string& field, const std::string& expected,
                        findings& problems) {
    const auto* member = find_member(body, field);
    if (member == nullptr) {
        std::get<document::table>(body.value).push_back({field, expected});
    } else if (text_or(body, field, "") != expected) {
        problems.push_back({.path = field,
                            .problem = "the path names \"" + expected + "\"",
                            .remedy = "use the same in the body or leave it out"});
    }
}

/// Reads the resource that the path names from the request's body.
result<resource_set> read_one(document body, const store::resource_key& key) {
    findings problems;
    if (std::holds_alternative<document::table>(body.value)) {
        set_or_check_field(body, "name", key.name, problems);
        if (key.kind != store::resource_kind::service &&
            key.kind != store::resource_kind::workspace) {
            set_or_check_field(body, "service", key.service.value, problems);
        }
    }
    document::array items;
    items.push_back(std::move(body));
    auto read = read_resources(
        document(document::table{{std::string(kind_name(key.kind)), std::move(items)}}));
    if (auto* resource_problems = std::get_if<findings>(&read)) {
        const auto prefix = element_prefix(key);
        for (auto& problem : *resource_problems) {
            if (problem.path.starts_with(prefix)) {
                problem.path.erase(0, prefix.size());
            }
            problems.push_back(std::move(problem));
        }
    }
    if (!problems.empty()) {
        return problems;
    }
    return std::get<resource_set>(std::move(read));
}

bool is_flag_set(const api_request& request, const std::string& name) {
    const auto it = request.query.find(name);
    return it != request.query.end() && it->second != "0" && it->second != "false";
}

void refuse_change(const write_call& call, const store::change_refused& refused,
                   int conflict_status) {
    auto response = make_refused(call.operation, refused, conflict_status);
    response.headers[operation_header] = call.operation.value;
    call.reply(std::move(response));
}

/// Replies with the result that the change would have now, without writing it.
void preview(const write_call& call, const store::change& change) {
    const auto config = call.context.node.configuration();
    const config_version next{config->version.value + 1};
    const auto changed = call.context.preview(config->sections, change, next, call.operation);
    if (const auto* refused = std::get_if<store::change_refused>(&changed)) {
        refuse_change(call, *refused, 409);
        return;
    }
    document::array services;
    for (const auto& [name, part] : std::get<0>(changed)) {
        const auto current = config->sections.find(name);
        if (current == config->sections.end() || current->second != part) {
            services.emplace_back(name.value);
        }
    }
    auto response =
        make_json(200, document(document::table{{"outcome", "valid"},
                                                {"dry_run", true},
                                                {"changed_services", std::move(services)}}));
    response.headers[operation_header] = call.operation.value;
    call.reply(std::move(response));
}

} // namespace

void put_resource(const write_call& call, const store::resource_key& key) {
    auto preconditions = read_preconditions(call.request, key);
    if (auto* problems = std::get_if<findings>(&preconditions)) {
        refuse(call, {.status = 400, .detail = "malformed precondition", .problems = *problems});
        return;
    }
    auto parsed = parse_json(call.request.body, "");
    if (auto* problems = std::get_if<findings>(&parsed)) {
        refuse(call, {.status = 400, .detail = "the body is not JSON", .problems = *problems});
        return;
    }
    auto read = read_one(std::get<document>(std::move(parsed)), key);
    if (auto* problems = std::get_if<findings>(&read)) {
        refuse(call, {.status = 422,
                      .detail = "the resource is not valid",
                      .problems = std::move(*problems)});
        return;
    }
    auto converted = to_resource_write(std::get<resource_set>(std::move(read)),
                                       *call.context.node.configuration());
    if (const auto* refused = std::get_if<store::change_refused>(&converted)) {
        refuse_change(call, *refused, 412);
        return;
    }
    write_plan plan{.write = std::get<0>(std::move(converted))};
    const auto& requested = std::get<0>(preconditions);
    auto& conditions = plan.write.preconditions;
    conditions.insert(conditions.begin(), requested.begin(), requested.end());
    const bool has_conditions = !plan.write.preconditions.empty();
    const bool is_create = has_conditions && !plan.write.preconditions.front().expected;
    plan.accepted_status = is_create ? 201 : 200;
    plan.conflict_status = has_conditions ? 412 : 409;
    submit(call, std::move(plan));
}

void delete_resource(const write_call& call, const store::resource_key& key) {
    auto preconditions = read_preconditions(call.request, key);
    if (auto* problems = std::get_if<findings>(&preconditions)) {
        refuse(call, {.status = 400, .detail = "malformed precondition", .problems = *problems});
        return;
    }
    if (!find_resource(*call.context.node.configuration(), key)) {
        refuse(call, {.status = 404, .detail = "no such resource"});
        return;
    }
    write_plan plan;
    const bool is_whole =
        key.kind == store::resource_kind::service && is_flag_set(call.request, "whole");
    plan.write.deletes = is_whole
                             ? list_service_keys(*call.context.node.configuration(), key.service)
                             : std::vector{key};
    plan.write.preconditions = std::get<0>(std::move(preconditions));
    plan.conflict_status = plan.write.preconditions.empty() ? 409 : 412;
    submit(call, std::move(plan));
}

void apply_resources(const write_call& call) {
    const auto parsed = parse_json(call.request.body, "");
    if (const auto* problems = std::get_if<findings>(&parsed)) {
        refuse(call, {.status = 400, .detail = "the body is not JSON", .problems = *problems});
        return;
    }
    auto read = read_resources(std::get<document>(parsed));
    if (auto* problems = std::get_if<findings>(&read)) {
        refuse(call, {.status = 422,
                      .detail = "the resources are not valid",
                      .problems = std::move(*problems)});
        return;
    }
    auto converted = to_resource_write(std::get<resource_set>(std::move(read)),
                                       *call.context.node.configuration());
    if (const auto* refused = std::get_if<store::change_refused>(&converted)) {
        refuse_change(call, *refused, 409);
        return;
    }
    write_plan plan{.write = std::get<0>(std::move(converted))};
    if (is_flag_set(call.request, "dry_run")) {
        preview(call, plan.write);
        return;
    }
    submit(call, std::move(plan));
}

void cancel_move(const write_call& call, const service_id& service, const move_id& name) {
    const auto config = call.context.node.configuration();
    const auto part = config->sections.find(service);
    const move* target = nullptr;
    if (part != config->sections.end()) {
        const auto& moves = part->second->content.moves;
        const auto it = std::find_if(moves.begin(), moves.end(),
                                     [&](const move& candidate) { return candidate.name == name; });
        target = it == moves.end() ? nullptr : &*it;
    }
    if (target == nullptr) {
        refuse(call, {.status = 404, .detail = "no such move"});
        return;
    }
    if (target->ending) {
        refuse(call, {.status = 409, .detail = "the move has ended"});
        return;
    }
    write_plan plan;
    plan.write.moves.push_back(*target);
    plan.write.moves.back().cancel = true;
    const store::resource_key key{store::resource_kind::move, service, name.value};
    plan.write.preconditions.push_back({key, target->last_write.revision});
    submit(call, std::move(plan));
}

} // namespace cyclamenhatch::admin
