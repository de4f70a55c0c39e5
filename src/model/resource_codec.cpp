#include "model/resource_codec.h"

namespace cyclamenhatch {
namespace {

template <class Message> void read_provenance(const Message& message, provenance& last_write) {
    last_write.revision = config_version{message.revision};
    last_write.operation = operation_id{message.operation};
}

template <class Message> void write_provenance(const provenance& last_write, Message& message) {
    message.revision = last_write.revision.value;
    message.operation = last_write.operation.value;
}

/// Stored value of a workspace that leaves the priority to the route.
constexpr std::int32_t no_workspace_priority = -1;

instant read_time(const std::string& text, const char* field, findings& problems) {
    const auto time = parse_rfc3339(text);
    if (!time) {
        problems.push_back({.path = field,
                            .problem = "\"" + text + "\" is not an RFC 3339 time",
                            .remedy = "write it as 2026-12-04T06:00:00Z"});
    }
    return time.value_or(instant{});
}

move_ending read_ending(const msg::move_ending_msg& message) {
    return {.outcome = message.outcome == msg::move_outcome::done ? move_outcome::done
                                                                  : move_outcome::taken_back,
            .reason = message.reason,
            .in_force_at = from_unix_ms(message.in_force_at_ms),
            .recorded_at = from_unix_ms(message.recorded_at_ms),
            .calls_on_new = message.calls_on_new,
            .errors_on_new = message.errors_on_new};
}

msg::move_ending_msg write_ending(const move_ending& ending) {
    msg::move_ending_msg message;
    message.outcome = ending.outcome == move_outcome::done ? msg::move_outcome::done
                                                           : msg::move_outcome::taken_back;
    message.reason = ending.reason;
    message.in_force_at_ms = to_unix_ms(ending.in_force_at);
    message.recorded_at_ms = to_unix_ms(ending.recorded_at);
    message.calls_on_new = ending.calls_on_new;
    message.errors_on_new = ending.errors_on_new;
    return message;
}

finding malformed_section(std::string problem) {
    return {.path = "section", .problem = std::move(problem), .remedy = "write the section again"};
}

} // namespace

msg::service_resource_msg to_message(const service& resource) {
    msg::service_resource_msg message;
    message.name = resource.name.value;
    message.owner = resource.owner.value;
    message.version = resource.version.value;
    message.reserved_slots = resource.reserved_slots;
    message.max_connections = resource.max_connections;
    message.health_path = resource.health_path;
    if (resource.limits) {
        message.limits = std::make_unique<msg::caller_limits_msg>();
        message.limits->max_header_bytes = resource.limits->max_header_bytes;
        message.limits->max_body_bytes = resource.limits->max_body_bytes;
        message.limits->header_timeout_ms =
            static_cast<std::uint32_t>(resource.limits->header_timeout.count());
        message.limits->idle_timeout_ms =
            static_cast<std::uint32_t>(resource.limits->idle_timeout.count());
    }
    message.warm_up_ms = static_cast<std::uint32_t>(resource.warm_up_time.count());
    message.warm_up_calls_per_s = resource.warm_up_calls_per_s;
    write_provenance(resource.last_write, message);
    return message;
}

msg::route_resource_msg to_message(const route& resource) {
    msg::route_resource_msg message;
    message.name = resource.name.value;
    message.service = resource.service.value;
    message.host = resource.host;
    message.path_prefix = resource.path_prefix;
    message.idempotent = resource.idempotent;
    message.timeout_ms = static_cast<std::uint32_t>(resource.timeout.count());
    message.max_attempts = resource.max_attempts;
    message.latency_objective_ms = static_cast<std::uint32_t>(resource.latency_objective.count());
    message.priority = resource.priority;
    for (const auto& part : resource.split) {
        auto part_message = std::make_unique<msg::route_part_msg>();
        part_message->service = part.service.value;
        part_message->weight = part.weight;
        message.split.push_back(std::move(part_message));
    }
    message.anonymous = resource.is_anonymous;
    message.large_bodies = resource.has_large_bodies;
    write_provenance(resource.last_write, message);
    return message;
}

msg::upstream_version_resource_msg to_message(const upstream_version& resource) {
    msg::upstream_version_resource_msg message;
    message.name = resource.name.value;
    message.service = resource.service.value;
    write_provenance(resource.last_write, message);
    return message;
}

msg::move_resource_msg to_message(const move& resource) {
    msg::move_resource_msg message;
    message.name = resource.name.value;
    message.service = resource.service.value;
    message.from = resource.old_version.value;
    message.to = resource.new_version.value;
    message.deadline = resource.duration.count() > 0 ? "" : format_rfc3339(resource.deadline);
    message.duration_ms = static_cast<std::uint32_t>(resource.duration.count());
    message.start = resource.start ? format_rfc3339(*resource.start) : "";
    message.first_share_permille = resource.first_share_permille;
    message.min_calls = resource.min_calls;
    message.bake_s = static_cast<std::uint32_t>(resource.bake.count());
    message.on_little_traffic = resource.on_little_traffic == little_traffic_policy::done
                                    ? msg::little_traffic::done
                                    : msg::little_traffic::take_back;
    message.cancel = resource.cancel;
    message.attempt = resource.attempt;
    if (resource.ending) {
        message.ending = std::make_unique<msg::move_ending_msg>(write_ending(*resource.ending));
    }
    write_provenance(resource.last_write, message);
    return message;
}

msg::workspace_resource_msg to_message(const workspace& resource) {
    msg::workspace_resource_msg message;
    message.name = resource.name.value;
    for (const auto& digest : resource.key_digests) {
        message.key_digest.push_back(digest.value);
    }
    message.priority =
        resource.priority ? static_cast<std::int32_t>(*resource.priority) : no_workspace_priority;
    message.calls_per_s = resource.calls_per_s;
    message.burst = resource.burst;
    write_provenance(resource.last_write, message);
    return message;
}

service from_message(const msg::service_resource_msg& message) {
    service resource;
    resource.name = service_id{message.name};
    resource.owner = owner_id{message.owner};
    resource.version = version_id{message.version};
    resource.reserved_slots = message.reserved_slots;
    resource.max_connections = message.max_connections;
    resource.health_path = message.health_path;
    if (message.limits) {
        resource.limits =
            caller_limits{.max_header_bytes = message.limits->max_header_bytes,
                          .max_body_bytes = message.limits->max_body_bytes,
                          .header_timeout = milliseconds{message.limits->header_timeout_ms},
                          .idle_timeout = milliseconds{message.limits->idle_timeout_ms}};
    }
    resource.warm_up_time = milliseconds{message.warm_up_ms};
    resource.warm_up_calls_per_s = message.warm_up_calls_per_s;
    read_provenance(message, resource.last_write);
    return resource;
}

route from_message(const msg::route_resource_msg& message) {
    route resource;
    resource.name = route_id{message.name};
    resource.service = service_id{message.service};
    resource.host = message.host;
    resource.path_prefix = message.path_prefix;
    resource.idempotent = message.idempotent;
    resource.timeout = milliseconds{message.timeout_ms};
    resource.max_attempts = message.max_attempts;
    resource.latency_objective = milliseconds{message.latency_objective_ms};
    resource.priority = message.priority;
    for (const auto& part : message.split) {
        resource.split.push_back({.service = service_id{part->service}, .weight = part->weight});
    }
    resource.is_anonymous = message.anonymous;
    resource.has_large_bodies = message.large_bodies;
    read_provenance(message, resource.last_write);
    return resource;
}

upstream_version from_message(const msg::upstream_version_resource_msg& message) {
    upstream_version resource;
    resource.name = version_id{message.name};
    resource.service = service_id{message.service};
    read_provenance(message, resource.last_write);
    return resource;
}

workspace from_message(const msg::workspace_resource_msg& message) {
    workspace resource;
    resource.name = workspace_id{message.name};
    for (const auto& digest : message.key_digest) {
        resource.key_digests.emplace_back(digest);
    }
    if (message.priority > no_workspace_priority) {
        resource.priority = static_cast<std::uint32_t>(message.priority);
    }
    resource.calls_per_s = message.calls_per_s;
    resource.burst = message.burst;
    read_provenance(message, resource.last_write);
    return resource;
}

result<move> from_message(const msg::move_resource_msg& message) {
    findings problems;
    move resource;
    resource.name = move_id{message.name};
    resource.service = service_id{message.service};
    resource.old_version = version_id{message.from};
    resource.new_version = version_id{message.to};
    resource.duration = milliseconds{message.duration_ms};
    if (message.duration_ms == 0 || !message.deadline.empty()) {
        resource.deadline = read_time(message.deadline, "deadline", problems);
    }
    if (!message.start.empty()) {
        resource.start = read_time(message.start, "start", problems);
    }
    resource.first_share_permille = message.first_share_permille;
    resource.min_calls = message.min_calls;
    resource.bake = seconds{message.bake_s};
    resource.on_little_traffic = message.on_little_traffic == msg::little_traffic::done
                                     ? little_traffic_policy::done
                                     : little_traffic_policy::take_back;
    resource.cancel = message.cancel;
    resource.attempt = message.attempt;
    if (message.ending) {
        resource.ending = read_ending(*message.ending);
    }
    read_provenance(message, resource.last_write);
    if (!problems.empty()) {
        return problems;
    }
    return resource;
}

std::string encode_section(const section& content) {
    msg::section_msg message;
    message.service = std::make_unique<msg::service_resource_msg>(to_message(content.service));
    for (const auto& resource : content.routes) {
        message.route.push_back(std::make_unique<msg::route_resource_msg>(to_message(resource)));
    }
    for (const auto& resource : content.versions) {
        message.upstream_version.push_back(
            std::make_unique<msg::upstream_version_resource_msg>(to_message(resource)));
    }
    for (const auto& resource : content.moves) {
        message.move.push_back(std::make_unique<msg::move_resource_msg>(to_message(resource)));
    }
    for (const auto& resource : content.workspaces) {
        message.workspace.push_back(
            std::make_unique<msg::workspace_resource_msg>(to_message(resource)));
    }
    for (const auto& name : content.evacuated) {
        message.evacuated.push_back(name.value);
    }
    message.requires_access_key = content.requires_access_key;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(msg::section::Pack(builder, &message));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<section> decode_section(std::string_view bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<msg::section>()) {
        return findings{malformed_section("the bytes are not a section")};
    }
    msg::section_msg message;
    flatbuffers::GetRoot<msg::section>(data)->UnPackTo(&message);
    if (!message.service) {
        return findings{malformed_section("the section has no service")};
    }
    section content;
    findings problems;
    content.service = from_message(*message.service);
    for (const auto& resource : message.route) {
        content.routes.push_back(from_message(*resource));
    }
    for (const auto& resource : message.upstream_version) {
        content.versions.push_back(from_message(*resource));
    }
    for (const auto& resource : message.workspace) {
        content.workspaces.push_back(from_message(*resource));
    }
    for (const auto& name : message.evacuated) {
        content.evacuated.emplace_back(name);
    }
    content.requires_access_key = message.requires_access_key;
    for (const auto& resource : message.move) {
        auto decoded = from_message(*resource);
        if (auto* move_problems = std::get_if<findings>(&decoded)) {
            problems.insert(problems.end(), move_problems->begin(), move_problems->end());
            continue;
        }
        content.moves.push_back(std::get<move>(std::move(decoded)));
    }
    if (!problems.empty()) {
        return problems;
    }
    return content;
}

} // namespace cyclamenhatch
