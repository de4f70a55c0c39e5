#include "document/schema_reader.h"
#include "model/validation.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace cyclamenhatch {
namespace {

/// A section being assembled, with the position of each of its resources in the resource set.
struct section_draft {
    section content;
    /// Positions in the set by kind, in the order of the section.
    std::map<std::string, std::vector<std::size_t>> positions;
};

struct draft_set {
    std::map<service_id, section_draft> drafts;
    findings problems;
};

const document* find_resource(const document& source, const std::string& kind, std::size_t index) {
    const auto* member = find_member(source, kind);
    const auto* items = member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
    return items == nullptr || index >= items->size() ? nullptr : &(*items)[index];
}

/// The location of a field, or of its resource when the field is absent.
source_location find_location(const document& source, const std::string& kind, std::size_t index,
                              const std::string& field) {
    const auto* item = find_resource(source, kind, index);
    if (item == nullptr) {
        return source.location;
    }
    const auto* value = find_member(*item, field);
    return value == nullptr ? item->location : value->location;
}

std::string resource_path(const std::string& kind, std::size_t index) {
    return kind + "[" + std::to_string(index) + "]";
}

template <class Resource>
void add_resources(draft_set& set, const document& source, const std::string& kind,
                   const std::vector<Resource>& resources, std::vector<Resource> section::*list) {
    for (std::size_t i = 0; i < resources.size(); ++i) {
        const auto draft = set.drafts.find(resources[i].service);
        if (draft != set.drafts.end()) {
            (draft->second.content.*list).push_back(resources[i]);
            draft->second.positions[kind].push_back(i);
        } else if (!set.drafts.empty()) {
            set.problems.push_back({.location = find_location(source, kind, i, "service"),
                                    .path = resource_path(kind, i) + ".service",
                                    .problem = "no service \"" + resources[i].service.value + "\"",
                                    .remedy = "add the service or name another"});
        }
    }
}

/// The workspaces belong to no service.
void add_workspaces(draft_set& set, const std::vector<workspace>& workspaces) {
    if (workspaces.empty()) {
        return;
    }
    auto& draft = set.drafts[fleet_section_name()];
    draft.content.service.name = fleet_section_name();
    draft.content.workspaces = workspaces;
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
        draft.positions["workspace"].push_back(i);
    }
}

draft_set make_drafts(const document& source, const resource_set& resources) {
    draft_set set;
    for (std::size_t i = 0; i < resources.services.size(); ++i) {
        const auto [draft, is_new] = set.drafts.try_emplace(resources.services[i].name);
        if (!is_new) {
            set.problems.push_back({.location = find_location(source, "service", i, "name"),
                                    .path = resource_path("service", i) + ".name",
                                    .problem = "the service is defined twice",
                                    .remedy = "give each service a unique name"});
            continue;
        }
        draft->second.content.service = resources.services[i];
        draft->second.positions["service"].push_back(i);
    }
    add_resources(set, source, "route", resources.routes, &section::routes);
    add_resources(set, source, "upstream_version", resources.versions, &section::versions);
    add_resources(set, source, "move", resources.moves, &section::moves);
    // Last: the drafts so far tell whether the resources include any service.
    add_workspaces(set, resources.workspaces);
    return set;
}

/// Service names may contain dots, so a matching prefix alone does not identify the section.
bool is_section_path(std::string_view path) {
    return path.starts_with("service.") || path.starts_with("route[") ||
           path.starts_with("upstream_version[") || path.starts_with("move[") ||
           path.starts_with("workspace[");
}

/// Converts a path within a section, such as route[1].service, to one within the document.
void relocate(finding& problem, const document& source, const section_draft& draft) {
    const auto kind_end = problem.path.find_first_of("[.");
    const auto dot = problem.path.find('.');
    if (kind_end == std::string::npos || dot == std::string::npos) {
        return;
    }
    const auto kind = problem.path.substr(0, kind_end);
    const auto field = problem.path.substr(dot + 1);
    const auto index =
        kind_end == dot ? 0 : std::stoul(problem.path.substr(kind_end + 1, dot - kind_end - 2));
    const auto positions = draft.positions.find(kind);
    if (positions == draft.positions.end() || index >= positions->second.size()) {
        return;
    }
    const auto position = positions->second[index];
    problem.path = resource_path(kind, position) + "." + field;
    problem.location = find_location(source, kind, position, field);
}

} // namespace

findings check_resources(const document& source, const resource_set& resources) {
    auto [drafts, problems] = make_drafts(source, resources);
    std::vector<const section*> sections;
    sections.reserve(drafts.size());
    for (const auto& [name, draft] : drafts) {
        sections.push_back(&draft.content);
    }
    for (auto& item : validate_sections(sections)) {
        for (const auto& [name, draft] : drafts) {
            const auto prefix = name.value + ".";
            if (item.path.starts_with(prefix) && is_section_path(item.path.substr(prefix.size()))) {
                item.path.erase(0, prefix.size());
                relocate(item, source, draft);
                break;
            }
        }
        problems.push_back(std::move(item));
    }
    std::stable_sort(
        problems.begin(), problems.end(), [](const finding& left, const finding& right) {
            return std::tie(left.location.file, left.location.line, left.location.column) <
                   std::tie(right.location.file, right.location.line, right.location.column);
        });
    return problems;
}

} // namespace cyclamenhatch
