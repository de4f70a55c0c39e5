#include "document/schema_reader.h"
#include "model/validation.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace cyclamenhatch {
namespace {

/// A section under construction, with the position of each part in the resource set.
struct section_draft {
    section content;
    /// Positions in the set by kind, in the order in which the parts stand in the section.
    std::map<std::string, std::vector<std::size_t>> positions;
};

struct draft_set {
    std::map<service_id, section_draft> drafts;
    findings found;
};

const document* find_item(const document& from, const std::string& kind, std::size_t index) {
    const auto* member = find_member(from, kind);
    const auto* items = member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
    return items == nullptr || index >= items->size() ? nullptr : &(*items)[index];
}

/// The place of a field, or of its resource when the field is left out.
place find_place(const document& from, const std::string& kind, std::size_t index,
                 const std::string& field) {
    const auto* item = find_item(from, kind, index);
    if (item == nullptr) {
        return from.where;
    }
    const auto* value = find_member(*item, field);
    return value == nullptr ? item->where : value->where;
}

std::string indexed(const std::string& kind, std::size_t index) {
    return kind + "[" + std::to_string(index) + "]";
}

template <class Resource>
void add_parts(draft_set& to, const document& from, const std::string& kind,
               const std::vector<Resource>& parts, std::vector<Resource> section::*list) {
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto draft = to.drafts.find(parts[i].service);
        if (draft != to.drafts.end()) {
            (draft->second.content.*list).push_back(parts[i]);
            draft->second.positions[kind].push_back(i);
        } else if (!to.drafts.empty()) {
            to.found.push_back({.where = find_place(from, kind, i, "service"),
                                .path = indexed(kind, i) + ".service",
                                .problem = "no service \"" + parts[i].service.value + "\"",
                                .remedy = "add the service or name another"});
        }
    }
}

draft_set make_drafts(const document& from, const resource_set& read) {
    draft_set to;
    for (std::size_t i = 0; i < read.services.size(); ++i) {
        const auto [held, is_new] = to.drafts.try_emplace(read.services[i].name);
        if (!is_new) {
            to.found.push_back({.where = find_place(from, "service", i, "name"),
                                .path = indexed("service", i) + ".name",
                                .problem = "the service stands twice",
                                .remedy = "give each service a name of its own"});
            continue;
        }
        held->second.content.service = read.services[i];
        held->second.positions["service"].push_back(i);
    }
    add_parts(to, from, "route", read.routes, &section::routes);
    add_parts(to, from, "upstream_version", read.versions, &section::versions);
    add_parts(to, from, "move", read.moves, &section::moves);
    return to;
}

/// Service names may hold dots, so a prefix alone does not tell the section.
bool is_section_path(std::string_view path) {
    return path.starts_with("service.") || path.starts_with("route[") ||
           path.starts_with("upstream_version[") || path.starts_with("move[");
}

/// Turns a path within a section, such as route[1].service, into one within the document.
void relocate(finding& found, const document& from, const section_draft& draft) {
    const auto kind_end = found.path.find_first_of("[.");
    const auto dot = found.path.find('.');
    if (kind_end == std::string::npos || dot == std::string::npos) {
        return;
    }
    const auto kind = found.path.substr(0, kind_end);
    const auto field = found.path.substr(dot + 1);
    const auto index =
        kind_end == dot ? 0 : std::stoul(found.path.substr(kind_end + 1, dot - kind_end - 2));
    const auto positions = draft.positions.find(kind);
    if (positions == draft.positions.end() || index >= positions->second.size()) {
        return;
    }
    const auto position = positions->second[index];
    found.path = indexed(kind, position) + "." + field;
    found.where = find_place(from, kind, position, field);
}

} // namespace

findings check_resources(const document& from, const resource_set& read) {
    auto [drafts, found] = make_drafts(from, read);
    std::vector<const section*> sections;
    sections.reserve(drafts.size());
    for (const auto& [name, draft] : drafts) {
        sections.push_back(&draft.content);
    }
    for (auto& each : validate_sections(sections)) {
        for (const auto& [name, draft] : drafts) {
            const auto prefix = name.value + ".";
            if (each.path.starts_with(prefix) && is_section_path(each.path.substr(prefix.size()))) {
                each.path.erase(0, prefix.size());
                relocate(each, from, draft);
                break;
            }
        }
        found.push_back(std::move(each));
    }
    std::stable_sort(found.begin(), found.end(), [](const finding& left, const finding& right) {
        return std::tie(left.where.file, left.where.line, left.where.column) <
               std::tie(right.where.file, right.where.line, right.where.column);
    });
    return found;
}

} // namespace cyclamenhatch
