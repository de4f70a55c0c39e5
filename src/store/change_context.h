#pragma once

#include "store/change.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// The parts of apply_change: what a change has done so far, and how it creates and replaces
/// resources. For the files of apply_change only.
namespace cyclamenhatch::store {

/// Path of a field in findings, such as route[2].name.
[[nodiscard]] std::string indexed(std::string_view kind, std::size_t index, std::string_view field);

template <class Resource>
auto find_named(std::vector<Resource>& resources, const std::string& name) {
    return std::find_if(resources.begin(), resources.end(),
                        [&](const Resource& resource) { return resource.name.value == name; });
}

/// The state of one change while it is applied. A section is copied when it is first changed.
struct change_context {
    const section_map& current;
    provenance stamp;
    std::map<service_id, section> changed_sections;
    std::set<service_id> removed_services;
    std::set<resource_key> named_keys;
    findings invalid_findings;
    findings conflict_findings;

    void add_invalid(std::string path, std::string problem, std::string remedy) {
        invalid_findings.push_back(
            {.path = std::move(path), .problem = std::move(problem), .remedy = std::move(remedy)});
    }
    void add_conflict(std::string path, std::string problem, std::string remedy) {
        conflict_findings.push_back(
            {.path = std::move(path), .problem = std::move(problem), .remedy = std::move(remedy)});
    }
};

/// The working copy of a section, or null when the service does not exist.
[[nodiscard]] section* open_section(change_context& context, const service_id& name);

/// Records that the write names a resource. False, with a finding, when it has named it before.
[[nodiscard]] bool add_key(change_context& context, const resource_key& key,
                           const std::string& path);

/// Replaces `existing` when the content differs; equal content keeps its revision.
template <class Resource>
void replace_if_changed(Resource& existing, Resource replacement, const provenance& stamp) {
    replacement.last_write = existing.last_write;
    if (replacement != existing) {
        replacement.last_write = stamp;
        existing = std::move(replacement);
    }
}

template <class Resource>
void put_resource(std::vector<Resource>& resources, const Resource& resource,
                  const provenance& stamp) {
    const auto existing = find_named(resources, resource.name.value);
    if (existing != resources.end()) {
        replace_if_changed(*existing, resource, stamp);
        return;
    }
    resources.push_back(resource);
    resources.back().last_write = stamp;
}

/// Creates or replaces workspaces. The fleet section exists once something is in it.
void put_workspaces(change_context& context, const std::vector<workspace>& workspaces);

} // namespace cyclamenhatch::store
