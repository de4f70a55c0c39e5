#include "cli/resource_verbs.h"
#include "cli/node_session.h"
#include "cli/resource_files.h"
#include "cli/table_printer.h"

#include <algorithm>
#include <array>
#include <optional>

namespace cyclamenhatch::cli {
namespace {

/// One kind of resource, as operators may name it, and the columns to show.
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
    };
    return kinds;
}

/// Accepts singular and plural, with '-' or '_'.
const kind_view* find_kind(std::string name) {
    std::replace(name.begin(), name.end(), '-', '_');
    for (const auto& each : list_kinds()) {
        if (name == each.singular || name == each.singular + "s") {
            return &each;
        }
    }
    return nullptr;
}

exit_code refuse_kind(const environment& around, const std::string& kind) {
    around.err << "\"" << kind << "\" is no kind; use service, route, upstream_version or move\n";
    return exit_code::usage;
}

/// The resource's path; nothing when the names are too few or too many.
std::optional<std::string> make_path(const kind_view& kind, const std::vector<std::string>& names) {
    const std::size_t needed = kind.singular == "service" ? 1 : 2;
    if (names.size() != needed) {
        return std::nullopt;
    }
    std::string path = "/v1/" + kind.plural;
    for (const auto& each : names) {
        path += "/" + encode_segment(each);
    }
    return path;
}

void print_kind(const environment& around, const kind_view& kind, const document& from) {
    const auto* member = find_member(from, kind.singular);
    const auto* rows = member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
    if (rows != nullptr) {
        print_rows(around.out, kind.columns, *rows);
    }
}

exit_code show_all(const environment& around, const get_command& asked) {
    const auto answer = ask(around, asked.to, "/v1/resources");
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    if (asked.to.output == output_format::json) {
        around.out << write_json(body, true) << "\n";
        return exit_code::done;
    }
    around.out << "version " << number_or(body, "version", 0) << "\n";
    for (const auto& kind : list_kinds()) {
        around.out << "\n[" << kind.singular << "]\n";
        print_kind(around, kind, body);
    }
    return exit_code::done;
}

exit_code show_page(const environment& around, const connection& to, const std::string& path) {
    const auto answer = ask(around, to, path);
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    if (to.output == output_format::json) {
        around.out << write_json(body, true) << "\n";
    } else {
        print_page(around.out, body);
    }
    return exit_code::done;
}

exit_code show_list(const environment& around, const get_command& asked, const kind_view& kind) {
    std::string path = "/v1/" + kind.plural;
    for (const auto& each : asked.names) {
        path += "/" + encode_segment(each);
    }
    const auto answer = ask(around, asked.to, path);
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    if (asked.to.output == output_format::json) {
        around.out << write_json(body, true) << "\n";
    } else {
        print_kind(around, kind, body);
    }
    return exit_code::done;
}

/// Shows what became of a change that was accepted or only checked.
void show_accepted(const environment& around, const connection& to, const document& answer) {
    if (to.output == output_format::json) {
        around.out << write_json(answer) << "\n";
    } else {
        print_line(around.out, answer, "outcome");
    }
}

} // namespace

exit_code run(const environment& around, const get_command& asked) {
    if (asked.kind.empty()) {
        return show_all(around, asked);
    }
    const auto* kind = find_kind(asked.kind);
    if (kind == nullptr) {
        return refuse_kind(around, asked.kind);
    }
    const auto path = make_path(*kind, asked.names);
    return path ? show_page(around, asked.to, *path) : show_list(around, asked, *kind);
}

exit_code run(const environment& around, const apply_command& asked) {
    const auto read = read_resource_files(around, asked.files);
    if (const auto* found = std::get_if<findings>(&read)) {
        return refuse(around, *found);
    }
    const auto operation = settle_operation(around, asked.operation);
    const auto answer = change(around, asked.to,
                               {.method = "POST",
                                .path = asked.is_dry_run ? "/v1/apply?dry_run=1" : "/v1/apply",
                                .body = write_json(std::get<resource_files>(read).merged),
                                .operation = operation});
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    show_accepted(around, asked.to, body);
    if (asked.is_dry_run || !asked.is_waiting) {
        return exit_code::done;
    }
    return wait_until_in_force(around, asked.to, number_or(body, "version", 0),
                               seconds{asked.timeout_s});
}

exit_code run(const environment& around, const delete_command& asked) {
    const auto* kind = find_kind(asked.kind);
    if (kind == nullptr) {
        return refuse_kind(around, asked.kind);
    }
    const auto path = make_path(*kind, asked.names);
    if (!path) {
        around.err << "name the service and, for all kinds but service, the resource\n";
        return exit_code::usage;
    }
    const auto held = ask(around, asked.to, *path);
    if (const auto* code = std::get_if<exit_code>(&held)) {
        return *code;
    }
    const auto revision = number_or(std::get<document>(held), "revision", 0);
    const auto answer = change(around, asked.to,
                               {.method = "DELETE",
                                .path = *path + (asked.is_whole ? "?whole=1" : ""),
                                .if_match = "\"" + std::to_string(revision) + "\"",
                                .operation = settle_operation(around, asked.operation)});
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    show_accepted(around, asked.to, std::get<document>(answer));
    return exit_code::done;
}

exit_code run(const environment& around, const watch_command& asked) {
    return follow_events(around, asked.to, asked.after);
}

exit_code run(const environment& around, const page_command& asked) {
    return show_page(around, asked.to, "/v1/" + asked.page);
}

exit_code run(const environment& around, const operation_command& asked) {
    const auto answer = ask(around, asked.to, "/v1/operations/" + encode_segment(asked.operation));
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    const auto& body = std::get<document>(answer);
    show_accepted(around, asked.to, body);
    return text_or(body, "outcome", "") == "accepted" ? exit_code::done : exit_code::unknown;
}

} // namespace cyclamenhatch::cli
