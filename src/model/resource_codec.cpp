#include "model/resource_codec.h"

namespace cyclamenhatch {
namespace {

template <class Message> void read_provenance(const Message& from, provenance& to) {
    to.revision = config_version{from.revision};
    to.operation = operation_id{from.operation};
}

template <class Message> void write_provenance(const provenance& from, Message& to) {
    to.revision = from.revision.value;
    to.operation = from.operation.value;
}

instant read_time(const std::string& text, const char* field, findings& found) {
    const auto time = parse_rfc3339(text);
    if (!time) {
        found.push_back({.path = field,
                         .problem = "\"" + text + "\" is not an RFC 3339 time",
                         .remedy = "write it as 2026-12-04T06:00:00Z"});
    }
    return time.value_or(instant{});
}

move_ending read_ending(const msg::move_ending_msg& from) {
    return {.outcome = from.outcome == msg::move_outcome::done ? move_outcome::done
                                                               : move_outcome::taken_back,
            .reason = from.reason,
            .in_force_at = from_unix_ms(from.in_force_at_ms),
            .recorded_at = from_unix_ms(from.recorded_at_ms),
            .calls_on_new = from.calls_on_new,
            .errors_on_new = from.errors_on_new};
}

msg::move_ending_msg write_ending(const move_ending& from) {
    msg::move_ending_msg to;
    to.outcome = from.outcome == move_outcome::done ? msg::move_outcome::done
                                                    : msg::move_outcome::taken_back;
    to.reason = from.reason;
    to.in_force_at_ms = to_unix_ms(from.in_force_at);
    to.recorded_at_ms = to_unix_ms(from.recorded_at);
    to.calls_on_new = from.calls_on_new;
    to.errors_on_new = from.errors_on_new;
    return to;
}

finding malformed(std::string problem) {
    return {.path = "section", .problem = std::move(problem), .remedy = "write the section again"};
}

} // namespace

msg::service_resource_msg to_message(const service& from) {
    msg::service_resource_msg to;
    to.name = from.name.value;
    to.owner = from.owner.value;
    to.version = from.version.value;
    to.reserved_slots = from.reserved_slots;
    to.max_connections = from.max_connections;
    to.health_path = from.health_path;
    if (from.limits) {
        to.limits = std::make_unique<msg::caller_limits_msg>();
        to.limits->max_header_bytes = from.limits->max_header_bytes;
        to.limits->max_body_bytes = from.limits->max_body_bytes;
        to.limits->header_timeout_ms =
            static_cast<std::uint32_t>(from.limits->header_timeout.count());
        to.limits->idle_timeout_ms = static_cast<std::uint32_t>(from.limits->idle_timeout.count());
    }
    write_provenance(from.written, to);
    return to;
}

msg::route_resource_msg to_message(const route& from) {
    msg::route_resource_msg to;
    to.name = from.name.value;
    to.service = from.service.value;
    to.host = from.host;
    to.path_prefix = from.path_prefix;
    to.idempotent = from.idempotent;
    to.timeout_ms = static_cast<std::uint32_t>(from.timeout.count());
    to.max_attempts = from.max_attempts;
    to.latency_objective_ms = static_cast<std::uint32_t>(from.latency_objective.count());
    to.priority = from.priority;
    for (const auto& part : from.split) {
        auto next = std::make_unique<msg::route_part_msg>();
        next->service = part.service.value;
        next->weight = part.weight;
        to.split.push_back(std::move(next));
    }
    write_provenance(from.written, to);
    return to;
}

msg::upstream_version_resource_msg to_message(const upstream_version& from) {
    msg::upstream_version_resource_msg to;
    to.name = from.name.value;
    to.service = from.service.value;
    write_provenance(from.written, to);
    return to;
}

msg::move_resource_msg to_message(const move& from) {
    msg::move_resource_msg to;
    to.name = from.name.value;
    to.service = from.service.value;
    to.from = from.from.value;
    to.to = from.to.value;
    to.deadline = from.duration.count() > 0 ? "" : format_rfc3339(from.deadline);
    to.duration_ms = static_cast<std::uint32_t>(from.duration.count());
    to.start = from.start ? format_rfc3339(*from.start) : "";
    to.first_share_permille = from.first_share_permille;
    to.min_calls = from.min_calls;
    to.bake_s = static_cast<std::uint32_t>(from.bake.count());
    to.on_little_traffic = from.on_little_traffic == little_traffic_policy::done
                               ? msg::little_traffic::done
                               : msg::little_traffic::take_back;
    to.cancel = from.cancel;
    to.attempt = from.attempt;
    if (from.ending) {
        to.ending = std::make_unique<msg::move_ending_msg>(write_ending(*from.ending));
    }
    write_provenance(from.written, to);
    return to;
}

service from_message(const msg::service_resource_msg& from) {
    service to;
    to.name = service_id{from.name};
    to.owner = owner_id{from.owner};
    to.version = version_id{from.version};
    to.reserved_slots = from.reserved_slots;
    to.max_connections = from.max_connections;
    to.health_path = from.health_path;
    if (from.limits) {
        to.limits = caller_limits{.max_header_bytes = from.limits->max_header_bytes,
                                  .max_body_bytes = from.limits->max_body_bytes,
                                  .header_timeout = milliseconds{from.limits->header_timeout_ms},
                                  .idle_timeout = milliseconds{from.limits->idle_timeout_ms}};
    }
    read_provenance(from, to.written);
    return to;
}

route from_message(const msg::route_resource_msg& from) {
    route to;
    to.name = route_id{from.name};
    to.service = service_id{from.service};
    to.host = from.host;
    to.path_prefix = from.path_prefix;
    to.idempotent = from.idempotent;
    to.timeout = milliseconds{from.timeout_ms};
    to.max_attempts = from.max_attempts;
    to.latency_objective = milliseconds{from.latency_objective_ms};
    to.priority = from.priority;
    for (const auto& part : from.split) {
        to.split.push_back({.service = service_id{part->service}, .weight = part->weight});
    }
    read_provenance(from, to.written);
    return to;
}

upstream_version from_message(const msg::upstream_version_resource_msg& from) {
    upstream_version to;
    to.name = version_id{from.name};
    to.service = service_id{from.service};
    read_provenance(from, to.written);
    return to;
}

result<move> from_message(const msg::move_resource_msg& from) {
    findings found;
    move to;
    to.name = move_id{from.name};
    to.service = service_id{from.service};
    to.from = version_id{from.from};
    to.to = version_id{from.to};
    to.duration = milliseconds{from.duration_ms};
    if (from.duration_ms == 0 || !from.deadline.empty()) {
        to.deadline = read_time(from.deadline, "deadline", found);
    }
    if (!from.start.empty()) {
        to.start = read_time(from.start, "start", found);
    }
    to.first_share_permille = from.first_share_permille;
    to.min_calls = from.min_calls;
    to.bake = seconds{from.bake_s};
    to.on_little_traffic = from.on_little_traffic == msg::little_traffic::done
                               ? little_traffic_policy::done
                               : little_traffic_policy::take_back;
    to.cancel = from.cancel;
    to.attempt = from.attempt;
    if (from.ending) {
        to.ending = read_ending(*from.ending);
    }
    read_provenance(from, to.written);
    if (!found.empty()) {
        return found;
    }
    return to;
}

std::string encode_section(const section& from) {
    msg::section_msg to;
    to.service = std::make_unique<msg::service_resource_msg>(to_message(from.service));
    for (const auto& each : from.routes) {
        to.route.push_back(std::make_unique<msg::route_resource_msg>(to_message(each)));
    }
    for (const auto& each : from.versions) {
        to.upstream_version.push_back(
            std::make_unique<msg::upstream_version_resource_msg>(to_message(each)));
    }
    for (const auto& each : from.moves) {
        to.move.push_back(std::make_unique<msg::move_resource_msg>(to_message(each)));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(msg::section::Pack(builder, &to));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<section> decode_section(std::string_view bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<msg::section>()) {
        return findings{malformed("the bytes are not a section")};
    }
    msg::section_msg from;
    flatbuffers::GetRoot<msg::section>(data)->UnPackTo(&from);
    if (!from.service) {
        return findings{malformed("the section has no service")};
    }
    section to;
    findings found;
    to.service = from_message(*from.service);
    for (const auto& each : from.route) {
        to.routes.push_back(from_message(*each));
    }
    for (const auto& each : from.upstream_version) {
        to.versions.push_back(from_message(*each));
    }
    for (const auto& each : from.move) {
        auto read = from_message(*each);
        if (auto* problems = std::get_if<findings>(&read)) {
            found.insert(found.end(), problems->begin(), problems->end());
            continue;
        }
        to.moves.push_back(std::get<move>(std::move(read)));
    }
    if (!found.empty()) {
        return found;
    }
    return to;
}

} // namespace cyclamenhatch
