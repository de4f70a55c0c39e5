#include "distribution/patch.h"

#include "model/resource_codec.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamenhatch::distribution {
namespace {

/// Smaller sections are sent whole: a delta of one changed route may take 4 KB
/// (docs/design/spreading.md).
constexpr std::size_t smallest_patched_bytes = 4096;

using name_set = std::set<std::string_view>;

/// The resources of `target` that are new or differ; the names of those that it lacks are added to
/// `removed`.
template <class Resource>
std::vector<Resource> pick_changed(const std::vector<Resource>& base,
                                   const std::vector<Resource>& target,
                                   std::vector<std::string>& removed) {
    std::map<std::string_view, const Resource*> before;
    for (const auto& resource : base) {
        before.emplace(resource.name.value, &resource);
    }
    std::vector<Resource> changed;
    for (const auto& resource : target) {
        const auto it = before.find(resource.name.value);
        if (it == before.end() || *it->second != resource) {
            changed.push_back(resource);
        }
        if (it != before.end()) {
            before.erase(it);
        }
    }
    for (const auto& [name, resource] : before) {
        removed.emplace_back(name);
    }
    return changed;
}

/// The resources of `base` with those that changed in place of their former versions.
template <class Resource>
std::vector<Resource> merge_changed(const std::vector<Resource>& base,
                                    std::vector<Resource> changed,
                                    const std::vector<std::string>& removed) {
    name_set replaced(removed.begin(), removed.end());
    for (const auto& resource : changed) {
        replaced.insert(resource.name.value);
    }
    std::vector<Resource> merged;
    merged.reserve(base.size() + changed.size());
    for (const auto& resource : base) {
        if (!replaced.contains(resource.name.value)) {
            merged.push_back(resource);
        }
    }
    std::move(changed.begin(), changed.end(), std::back_inserter(merged));
    return merged;
}

/// The routes and workspaces of `target` that are new or differ, with everything else in the
/// section.
section pick_changes(const section& base, const section& target, msg::section_patch_msg& patch) {
    return {.service = target.service,
            .routes = pick_changed(base.routes, target.routes, patch.removed_routes),
            .versions = target.versions,
            .moves = target.moves,
            .workspaces =
                pick_changed(base.workspaces, target.workspaces, patch.removed_workspaces),
            .evacuated = target.evacuated,
            .requires_access_key = target.requires_access_key};
}

section merge(const section& base, section changes, const msg::section_patch_msg& patch) {
    changes.routes = merge_changed(base.routes, std::move(changes.routes), patch.removed_routes);
    changes.workspaces =
        merge_changed(base.workspaces, std::move(changes.workspaces), patch.removed_workspaces);
    return changes;
}

std::size_t size_of(const msg::section_patch_msg& patch) {
    std::size_t size = patch.body.size();
    for (const auto* names : {&patch.removed_routes, &patch.removed_workspaces}) {
        for (const auto& name : *names) {
            size += name.size();
        }
    }
    return size;
}

} // namespace

std::unique_ptr<msg::section_patch_msg> make_patch(const stored_section& base,
                                                   const stored_section& target) {
    if (target.encoded.size() < smallest_patched_bytes) {
        return nullptr;
    }
    auto patch = std::make_unique<msg::section_patch_msg>();
    patch->service = target.content.service.name.value;
    patch->digest = target.digest.value;
    const auto body = encode_section(pick_changes(base.content, target.content, *patch));
    patch->body.assign(body.begin(), body.end());
    if (size_of(*patch) >= target.encoded.size() || !apply_patch(base, *patch)) {
        return nullptr;
    }
    return patch;
}

section_ptr apply_patch(const stored_section& base, const msg::section_patch_msg& patch) {
    auto changes = decode_section(
        std::string_view(reinterpret_cast<const char*>(patch.body.data()), patch.body.size()));
    auto* decoded = std::get_if<section>(&changes);
    if (decoded == nullptr || decoded->service.name.value != patch.service) {
        return nullptr;
    }
    auto result = make_stored_section(merge(base.content, std::move(*decoded), patch));
    return result->digest.value == patch.digest ? result : nullptr;
}

} // namespace cyclamenhatch::distribution
