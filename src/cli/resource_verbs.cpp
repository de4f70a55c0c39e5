#include "cli/resource_verbs.h"
#include "cli/node_session.h"
#include "cli/resource_files.h"
#include "cli/table_printer.h"

#include <algorithm>
#include <array>
#include <optional>

namespace cyclamenhatch::cli {
namespace {

/// The names of a resource kind, and the columns of its table.
struct kind_view {
    std::string singular;
    std::string plural;
    std::vector<std::string> columns;
};

const std::vector<kind_view>& list_kinds() {
    static const std::vector<kind_view> kinds{
        {"service", "services", {"name", "owner", "version", "reserved_slots", "revision"}},
        {"route",
         "routes",
         {"service", "name", "host", "path_prefix", "idempotent", "timeout_ms", "revision"}},
        {"upstream_version", "upstream-versions", {"service", "name", "revision"}},
        {"move",
         "moves",
         {"service", "name", "from", "to", "deadline", "attempt", "cancel", "ending.outcome",
          "revision"}},
        {"workspace", "workspaces", {"name", "priority", "calls_per_s", "burst", "revision"}},
    };
    return kinds;
}

/// Accepts singular and plural, with '-' or '_'.
const kind_view* find_kind(std::string name) {
    std::replace(name.begin(), name.end(), '-', '_');
    for (const auto& kind : list_kinds()) {
        if (name == kind.singular || name == kind.singular + "s") {
            return &kind;
        }
    }
    return nullptr;
}

exit_code refuse_kind(const environment& env, const std::string& kind) {
    env.err << "\"" << kind
            << "\" is no kind; use service, route, upstream_version, move or "
               "workspace\n";
    return exit_code::usage;
}

/// The API path of the resource; nothing when there are too few or too many names.
std::optional<std::string> make_path(const kind_view& kind, const std::vector<std::string>& names) {
    const bool is_alone = kind.singular == "service" || kind.singular == "workspace";
    const std::size_t needed = is_alone ? 1 : 2;
    if (names.size() != needed) {
        return std::nullopt;
    }
    std::string path = "/v1/" + kind.plural;
    for (const auto& name : names) {
        path += "/" + encode_segment(name);
    }
    return path;
}

void print_kind(const environment& env, const kind_view& kind, const document& body) {
    const auto* member = find_member(body, kind.singular);
    const auto* rows = member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
    if (rows != nullptr) {
        print_rows(env.out, kind.columns, *rows);
    }
}

exit_code show_all(const environment& env, const get_command& options) {
    const auto answer = query_node(env, options.connection, "/v1/resources");
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    if (options.connection.output == output_format::json) {
        env.out << write_json(body, true) << "\n";
        return exit_code::done;
    }
    env.out << "version " << number_or(body, "version", 0) << "\n";
    for (const auto& kind : list_kinds()) {
        env.out << "\n[" << kind.singular << "]\n";
        print_kind(env, kind, body);
    }
    return exit_code::done;
}

exit_code show_page(const environment& env, const connection_options& connection,
                    const std::string& path) {
    const auto answer = query_node(env, connection, path);
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    if (connection.output == output_format::json) {
        env.out << write_json(body, true) << "\n";
    } else {
        print_page(env.out, body);
    }
    return exit_code::done;
}

exit_code show_list(const environment& env, const get_command& options, const kind_view& kind) {
    std::string path = "/v1/" + kind.plural;
    for (const auto& name : options.names) {
        path += "/" + encode_segment(name);
    }
    const auto answer = query_node(env, options.connection, path);
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    if (options.connection.output == output_format::json) {
        env.out << write_json(body, true) << "\n";
    } else {
        print_kind(env, kind, body);
    }
    return exit_code::done;
}

/// Prints the outcome that the node reported for a change or an operation.
void show_outcome(const environment& env, const connection_options& connection,
                  const document& answer) {
    if (connection.output == output_format::json) {
        env.out << write_json(answer) << "\n";
    } else {
        print_line(env.out, answer, "outcome");
    }
}

} // namespace

exit_code run(const environment& env, const get_command& options) {
    if (options.kind.empty()) {
        return show_all(env, options);
    }
    const auto* kind = find_kind(options.kind);
    if (kind == nullptr) {
        return refuse_kind(env, options.kind);
    }
    const auto path = make_path(*kind, options.names);
    return path ? show_page(env, options.connection, *path) : show_list(env, options, *kind);
}

exit_code run(const environment& env, const apply_command& options) {
    const auto read = read_resource_files(env, options.files);
    if (const auto* problems = std::get_if<findings>(&read)) {
        return report_findings(env, *problems);
    }
    const auto operation = choose_operation(env, options.operation);
    const auto answer =
        send_change(env, options.connection,
                    {.method = "POST",
                     .path = options.is_dry_run ? "/v1/apply?dry_run=1" : "/v1/apply",
                     .body = write_json(std::get<resource_files>(read).merged),
                     .operation = operation});
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    show_outcome(env, options.connection, body);
    if (options.is_dry_run || !options.is_waiting) {
        return exit_code::done;
    }
    return wait_until_in_force(env, options.connection, number_or(body, "version", 0),
                               seconds{options.timeout_s});
}

exit_code run(const environment& env, const delete_command& options) {
    const auto* kind = find_kind(options.kind);
    if (kind == nullptr) {
        return refuse_kind(env, options.kind);
    }
    const auto path = make_path(*kind, options.names);
    if (!path) {
        env.err << "name the service and, for all kinds but service, the resource\n";
        return exit_code::usage;
    }
    const auto current = query_node(env, options.connection, *path);
    if (const auto* code = std::get_if<exit_code>(&current)) {
        return *code;
    }
    const auto revision = number_or(std::get<document>(current), "revision", 0);
    const auto answer = send_change(env, options.connection,
                                    {.method = "DELETE",
                                     .path = *path + (options.is_whole ? "?whole=1" : ""),
                                     .if_match = "\"" + std::to_string(revision) + "\"",
                                     .operation = choose_operation(env, options.operation)});
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    show_outcome(env, options.connection, std::get<document>(answer));
    return exit_code::done;
}

exit_code run(const environment& env, const watch_command& options) {
    return follow_events(env, options.connection, options.after);
}

exit_code run(const environment& env, const page_command& options) {
    return show_page(env, options.connection, "/v1/" + options.page);
}

exit_code run(const environment& env, const operation_command& options) {
    const auto answer =
        query_node(env, options.connection, "/v1/operations/" + encode_segment(options.operation));
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    show_outcome(env, options.connection, body);
    return text_or(body, "outcome", "") == "accepted" ? exit_code::done : exit_code::unknown;
}

} // namespace cyclamenhatch::cli
