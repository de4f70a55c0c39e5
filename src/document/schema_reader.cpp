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

/// Fields of a move that no operator writes. Revisions and operations may come back as shown.
bool is_system_set(std::string_view name) {
    return std::find(move_system_fields.begin(), move_system_fields.end(), name) !=
           move_system_fields.end();
}

/// The version of a listing as the API shows it.
bool is_listed_version(const document_member& member) {
    return member.key == "version" && std::holds_alternative<std::int64_t>(member.value.value);
}

template <class Table> void make_present(std::unique_ptr<Table>& table) {
    if (!table) {
        table = std::make_unique<Table>();
    }
}

void make_all_present(msg::settings_msg& read) {
    make_present(read.identity);
    make_present(read.listen);
    make_present(read.cluster);
    make_present(read.store);
    make_present(read.admin);
    make_present(read.membership);
    make_present(read.distribution);
    make_present(read.call);
    make_present(read.move);
    make_present(read.link);
    make_present(read.process);
}

/// Findings in the order in which a person meets them in the file.
void sort_by_place(findings& found) {
    const auto position = [](const finding& each) {
        return std::tie(each.where.file, each.where.line, each.where.column);
    };
    std::stable_sort(found.begin(), found.end(), [&](const finding& left, const finding& right) {
        return position(left) < position(right);
    });
}

bool has_finding_at(const findings& found, const std::string& path) {
    return std::any_of(found.begin(), found.end(),
                       [&](const finding& each) { return each.path == path; });
}

/// Whether a field is missing only because its key is misspelt, which is a finding already.
bool is_misspelt(const findings& found, const std::string& path) {
    const auto leaf = path.rfind('.') + 1;
    const auto remedy = suggestion_remedy(std::string_view(path).substr(leaf));
    return std::any_of(found.begin(), found.end(), [&](const finding& each) {
        return each.remedy == remedy && each.path.rfind('.') + 1 == leaf &&
               each.path.compare(0, leaf, path, 0, leaf) == 0;
    });
}

/// The required fields of one resource.
void check_required(const document& resource, const std::string& path,
                    const std::vector<std::string>& fields, findings& found) {
    for (const auto& each : fields) {
        const auto* value = find_member(resource, each);
        const auto* text = value == nullptr ? nullptr : std::get_if<std::string>(&value->value);
        const bool is_missing = value == nullptr || (text != nullptr && text->empty());
        const auto field = std::string(path).append(".").append(each);
        if (is_missing && !is_misspelt(found, field)) {
            found.push_back({.where = value == nullptr ? resource.where : value->where,
                             .path = field,
                             .problem = "is required",
                             .remedy = "set " + each});
        }
    }
}

/// The resources of one kind, as they stand in the document.
struct resource_list {
    std::string kind;
    const document::array* items = nullptr;

    [[nodiscard]] std::string path(std::size_t index) const {
        return kind + "[" + std::to_string(index) + "]";
    }
};

resource_list list_kind(const document& from, const std::string& kind) {
    const auto* member = find_member(from, kind);
    static const document::array none;
    const auto* items = member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
    return {kind, items == nullptr ? &none : items};
}

template <class Message, class Resource>
void read_kind(const document& from, const std::string& kind,
               const std::vector<std::string>& required, std::vector<Resource>& to,
               findings& found) {
    const auto list = list_kind(from, kind);
    for (std::size_t i = 0; i < list.items->size(); ++i) {
        const auto& item = (*list.items)[i];
        auto message = read_message<Message>(item, list.path(i), nullptr, found);
        message.operation.clear();
        if (std::holds_alternative<document::table>(item.value)) {
            check_required(item, list.path(i), required, found);
        }
        to.push_back(from_message(message));
    }
}

/// What stands against a move that shows fields only the system sets.
findings list_system_fields(const document& item, const std::string& path) {
    findings found;
    for (const auto& each : move_system_fields) {
        if (const auto* value = find_member(item, each)) {
            found.push_back({.where = value->where,
                             .path = std::string(path).append(".").append(each),
                             .problem = "is set by the system",
                             .remedy = "leave it out"});
        }
    }
    return found;
}

void read_moves(const document& from, resource_set& to, findings& found) {
    const auto list = list_kind(from, "move");
    for (std::size_t i = 0; i < list.items->size(); ++i) {
        const auto& item = (*list.items)[i];
        const bool is_shown = number_or(item, "revision", 0) > 0;
        auto message = read_message<msg::move_resource_msg>(
            item, list.path(i), is_shown ? nullptr : is_system_set, found);
        message.operation.clear();
        check_required(item, list.path(i), {"name", "service", "from", "to", "deadline"}, found);
        auto read = from_message(message);
        if (auto* problems = std::get_if<findings>(&read)) {
            for (auto& each : *problems) {
                const auto* value = find_member(item, each.path);
                each.where = value == nullptr ? item.where : value->where;
                each.path = list.path(i) + "." + each.path;
                if (!has_finding_at(found, each.path)) {
                    found.push_back(std::move(each));
                }
            }
            continue;
        }
        auto shown = is_shown ? list_system_fields(item, list.path(i)) : findings{};
        if (!shown.empty()) {
            to.shown_moves.emplace(to.moves.size(), std::move(shown));
        }
        to.moves.push_back(std::get<move>(std::move(read)));
    }
}

/// Unknown kinds and kinds that are no arrays of tables.
void check_kinds(const document& from, findings& found) {
    const auto* members = std::get_if<document::table>(&from.value);
    document outline;
    outline.where = from.where;
    if (members != nullptr) {
        document::table shallow;
        for (const auto& each : *members) {
            if (is_listed_version(each)) {
                continue;
            }
            const bool is_array = std::holds_alternative<document::array>(each.value.value);
            shallow.push_back(each);
            if (is_array) {
                shallow.back().value.value = document::array{};
            }
        }
        outline.value = std::move(shallow);
    }
    static_cast<void>(read_message<msg::resource_set_msg>(outline, "", nullptr, found));
}

} // namespace

result<msg::settings_msg> read_settings(const document& from) {
    findings found;
    auto read = read_message<msg::settings_msg>(from, "", nullptr, found);
    make_all_present(read);
    for (auto& each : check_settings(from, read)) {
        if (!has_finding_at(found, each.path) && !is_misspelt(found, each.path)) {
            found.push_back(std::move(each));
        }
    }
    if (!found.empty()) {
        sort_by_place(found);
        return found;
    }
    return read;
}

result<resource_set> read_resources(const document& from) {
    findings found;
    resource_set to;
    check_kinds(from, found);
    read_kind<msg::service_resource_msg>(from, "service", {"name", "owner", "version"}, to.services,
                                         found);
    read_kind<msg::route_resource_msg>(from, "route", {"name", "service", "path_prefix"}, to.routes,
                                       found);
    read_kind<msg::upstream_version_resource_msg>(from, "upstream_version", {"name", "service"},
                                                  to.versions, found);
    read_moves(from, to, found);
    if (!found.empty()) {
        sort_by_place(found);
        return found;
    }
    return to;
}

document merge_resources(const std::vector<document>& files) {
    document::table merged;
    for (const auto& file : files) {
        const auto* members = std::get_if<document::table>(&file.value);
        if (members == nullptr) {
            return file;
        }
        for (const auto& each : *members) {
            if (is_listed_version(each)) {
                continue;
            }
            const auto held =
                std::find_if(merged.begin(), merged.end(),
                             [&](const document_member& other) { return other.key == each.key; });
            const auto* more = std::get_if<document::array>(&each.value.value);
            auto* items =
                held == merged.end() ? nullptr : std::get_if<document::array>(&held->value.value);
            if (more == nullptr || items == nullptr) {
                merged.push_back(each);
                continue;
            }
            items->insert(items->end(), more->begin(), more->end());
        }
    }
    return {std::move(merged)};
}

document write_settings(const msg::settings_msg& from) {
    return write_message(from);
}

document write_resource(const service& from) {
    return write_message(to_message(from));
}
document write_resource(const route& from) {
    return write_message(to_message(from));
}
document write_resource(const upstream_version& from) {
    return write_message(to_message(from));
}
document write_resource(const move& from) {
    return write_message(to_message(from));
}

document write_findings(const findings& found) {
    document::array items;
    for (const auto& each : found) {
        items.emplace_back(document::table{{"file", each.where.file},
                                           {"line", std::int64_t{each.where.line}},
                                           {"column", std::int64_t{each.where.column}},
                                           {"path", each.path},
                                           {"problem", each.problem},
                                           {"remedy", each.remedy}});
    }
    return {std::move(items)};
}

} // namespace cyclamenhatch
