#include "document/schema_reader.h"
#include "document/settings_check.h"
#include "document/suggestion.h"
#include "document/table_codec.h"
#include "model/resource_codec.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace cyclamenhatch {
namespace {

constexpr std::array<std::string_view, 2> move_system_fields{"attempt", "ending"};

/// Whether a field of a move is never written by operators. `revision` and `operation` are not
/// among these: a resource may be sent back as the API returned it.
bool is_system_set(std::string_view name) {
    return std::find(move_system_fields.begin(), move_system_fields.end(), name) !=
           move_system_fields.end();
}

/// Whether a member is the version of a listing, as the API returns it.
bool is_listed_version(const document_member& member) {
    return member.key == "version" && std::holds_alternative<std::int64_t>(member.value.value);
}

template <class Table> void ensure_table(std::unique_ptr<Table>& table) {
    if (!table) {
        table = std::make_unique<Table>();
    }
}

void ensure_all_tables(msg::settings_msg& settings) {
    ensure_table(settings.identity);
    ensure_table(settings.listen);
    ensure_table(settings.cluster);
    ensure_table(settings.store);
    ensure_table(settings.admin);
    ensure_table(settings.membership);
    ensure_table(settings.distribution);
    ensure_table(settings.call);
    ensure_table(settings.move);
    ensure_table(settings.link);
    ensure_table(settings.process);
    ensure_table(settings.allowance);
}

/// Sorts findings by file, line and column.
void sort_by_location(findings& problems) {
    const auto location_key = [](const finding& item) {
        return std::tie(item.location.file, item.location.line, item.location.column);
    };
    std::stable_sort(problems.begin(), problems.end(),
                     [&](const finding& left, const finding& right) {
                         return location_key(left) < location_key(right);
                     });
}

bool has_finding_at(const findings& problems, const std::string& path) {
    return std::any_of(problems.begin(), problems.end(),
                       [&](const finding& item) { return item.path == path; });
}

/// Whether a missing field has a misspelt key that is already reported.
bool is_misspelt(const findings& problems, const std::string& path) {
    const auto key_start = path.rfind('.') + 1;
    const auto remedy = suggestion_remedy(std::string_view(path).substr(key_start));
    return std::any_of(problems.begin(), problems.end(), [&](const finding& item) {
        return item.remedy == remedy && item.path.rfind('.') + 1 == key_start &&
               item.path.compare(0, key_start, path, 0, key_start) == 0;
    });
}

/// Checks that the required fields of one resource are present and not empty.
void check_required(const document& resource, const std::string& path,
                    const std::vector<std::string>& fields, findings& problems) {
    for (const auto& field : fields) {
        const auto* value = find_member(resource, field);
        const auto* text = value == nullptr ? nullptr : std::get_if<std::string>(&value->value);
        const bool is_missing = value == nullptr || (text != nullptr && text->empty());
        const auto field_path = std::string(path).append(".").append(field);
        if (is_missing && !is_misspelt(problems, field_path)) {
            problems.push_back({.location = value == nullptr ? resource.location : value->location,
                                .path = field_path,
                                .problem = "is required",
                                .remedy = "set " + field});
        }
    }
}

/// The resources of one kind in a document.
struct resource_list {
    std::string kind;
    const document::array* items = nullptr;

    [[nodiscard]] std::string path(std::size_t index) const {
        return kind + "[" + std::to_string(index) + "]";
    }
};

resource_list list_kind(const document& source, const std::string& kind) {
    const auto* member = find_member(source, kind);
    static const document::array none;
    const auto* items = member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
    return {kind, items == nullptr ? &none : items};
}

template <class Message, class Resource>
void read_kind(const document& source, const std::string& kind,
               const std::vector<std::string>& required, std::vector<Resource>& resources,
               findings& problems) {
    const auto list = list_kind(source, kind);
    for (std::size_t i = 0; i < list.items->size(); ++i) {
        const auto& item = (*list.items)[i];
        auto message = read_message<Message>(item, list.path(i), nullptr, problems);
        message.operation.clear();
        if (std::holds_alternative<document::table>(item.value)) {
            check_required(item, list.path(i), required, problems);
        }
        resources.push_back(from_message(message));
    }
}

/// Findings about fields of a move that only the system sets.
findings list_system_fields(const document& item, const std::string& path) {
    findings problems;
    for (const auto& field : move_system_fields) {
        if (const auto* value = find_member(item, field)) {
            problems.push_back({.location = value->location,
                                .path = std::string(path).append(".").append(field),
                                .problem = "is set by the system",
                                .remedy = "leave it out"});
        }
    }
    return problems;
}

void read_moves(const document& source, resource_set& resources, findings& problems) {
    const auto list = list_kind(source, "move");
    for (std::size_t i = 0; i < list.items->size(); ++i) {
        const auto& item = (*list.items)[i];
        const bool has_revision = number_or(item, "revision", 0) > 0;
        auto message = read_message<msg::move_resource_msg>(
            item, list.path(i), has_revision ? nullptr : is_system_set, problems);
        message.operation.clear();
        check_required(item, list.path(i), {"name", "service", "from", "to", "deadline"}, problems);
        auto converted = from_message(message);
        if (auto* time_problems = std::get_if<findings>(&converted)) {
            for (auto& time_problem : *time_problems) {
                const auto* value = find_member(item, time_problem.path);
                time_problem.location = value == nullptr ? item.location : value->location;
                time_problem.path = list.path(i) + "." + time_problem.path;
                if (!has_finding_at(problems, time_problem.path)) {
                    problems.push_back(std::move(time_problem));
                }
            }
            continue;
        }
        auto system_fields = has_revision ? list_system_fields(item, list.path(i)) : findings{};
        if (!system_fields.empty()) {
            resources.system_field_findings.emplace(resources.moves.size(),
                                                    std::move(system_fields));
        }
        resources.moves.push_back(std::get<move>(std::move(converted)));
    }
}

/// Reports unknown kinds and kinds that are not arrays; leaves out the contents of the arrays.
void check_kinds(const document& source, findings& problems) {
    const auto* members = std::get_if<document::table>(&source.value);
    document outline;
    outline.location = source.location;
    if (members != nullptr) {
        document::table outline_members;
        for (const auto& member : *members) {
            if (is_listed_version(member)) {
                continue;
            }
            const bool is_array = std::holds_alternative<document::array>(member.value.value);
            outline_members.push_back(member);
            if (is_array) {
                outline_members.back().value.value = document::array{};
            }
        }
        outline.value = std::move(outline_members);
    }
    static_cast<void>(read_message<msg::resource_set_msg>(outline, "", nullptr, problems));
}

} // namespace

result<msg::settings_msg> read_settings(const document& source) {
    findings problems;
    auto settings = read_message<msg::settings_msg>(source, "", nullptr, problems);
    ensure_all_tables(settings);
    for (auto& item : check_settings(source, settings)) {
        if (!has_finding_at(problems, item.path) && !is_misspelt(problems, item.path)) {
            problems.push_back(std::move(item));
        }
    }
    if (!problems.empty()) {
        sort_by_location(problems);
        return problems;
    }
    return settings;
}

result<resource_set> read_resources(const document& source) {
    findings problems;
    resource_set resources;
    check_kinds(source, problems);
    read_kind<msg::service_resource_msg>(source, "service", {"name", "owner", "version"},
                                         resources.services, problems);
    read_kind<msg::route_resource_msg>(source, "route", {"name", "service", "path_prefix"},
                                       resources.routes, problems);
    read_kind<msg::upstream_version_resource_msg>(source, "upstream_version", {"name", "service"},
                                                  resources.versions, problems);
    read_moves(source, resources, problems);
    read_kind<msg::workspace_resource_msg>(source, "workspace", {"name"}, resources.workspaces,
                                           problems);
    if (!problems.empty()) {
        sort_by_location(problems);
        return problems;
    }
    return resources;
}

document merge_resources(const std::vector<document>& files) {
    document::table merged;
    for (const auto& file : files) {
        const auto* members = std::get_if<document::table>(&file.value);
        if (members == nullptr) {
            return file;
        }
        for (const auto& member : *members) {
            if (is_listed_version(member)) {
                continue;
            }
            const auto existing =
                std::find_if(merged.begin(), merged.end(), [&](const document_member& candidate) {
                    return candidate.key == member.key;
                });
            const auto* added_items = std::get_if<document::array>(&member.value.value);
            auto* existing_items = existing == merged.end()
                                       ? nullptr
                                       : std::get_if<document::array>(&existing->value.value);
            if (added_items == nullptr || existing_items == nullptr) {
                merged.push_back(member);
                continue;
            }
            existing_items->insert(existing_items->end(), added_items->begin(), added_items->end());
        }
    }
    return {std::move(merged)};
}

document write_settings(const msg::settings_msg& settings) {
    return write_message(settings);
}

document write_resource(const service& resource) {
    return write_message(to_message(resource));
}
document write_resource(const route& resource) {
    return write_message(to_message(resource));
}
document write_resource(const upstream_version& resource) {
    return write_message(to_message(resource));
}
document write_resource(const move& resource) {
    return write_message(to_message(resource));
}
document write_resource(const workspace& resource) {
    return write_message(to_message(resource));
}

document write_findings(const findings& problems) {
    document::array items;
    for (const auto& item : problems) {
        items.emplace_back(document::table{{"file", item.location.file},
                                           {"line", std::int64_t{item.location.line}},
                                           {"column", std::int64_t{item.location.column}},
                                           {"path", item.path},
                                           {"problem", item.problem},
                                           {"remedy", item.remedy}});
    }
    return {std::move(items)};
}

} // namespace cyclamenhatch
