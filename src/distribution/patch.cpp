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

/// The routes of `target` that are new or differ, with everything else in the section.
section pick_changes(const section& base, const section& target,
                     std::vector<std::string>& removed_routes) {
    std::map<std::string_view, const route*> before;
    for (const auto& route : base.routes) {
        before.emplace(route.name.value, &route);
    }
    section changes{.service = target.service, .versions = target.versions, .moves = target.moves};
    for (const auto& route : target.routes) {
        const auto it = before.find(route.name.value);
        if (it == before.end() || *it->second != route) {
            changes.routes.push_back(route);
        }
        if (it != before.end()) {
            before.erase(it);
        }
    }
    for (const auto& [name, removed] : before) {
        removed_routes.emplace_back(name);
    }
    return changes;
}

section merge(const section& base, section changes, const std::vector<std::string>& removed) {
    name_set replaced(removed.begin(), removed.end());
    for (const auto& route : changes.routes) {
        replaced.insert(route.name.value);
    }
    section merged{.service = std::move(changes.service),
                   .versions = std::move(changes.versions),
                   .moves = std::move(changes.moves)};
    merged.routes.reserve(base.routes.size() + changes.routes.size());
    for (const auto& route : base.routes) {
        if (!replaced.contains(route.name.value)) {
            merged.routes.push_back(route);
        }
    }
    std::move(changes.routes.begin(), changes.routes.end(), std::back_inserter(merged.routes));
    return merged;
}

std::size_t size_of(const msg::section_patch_msg& patch) {
    std::size_t size = patch.body.size();
    for (const auto& name : patch.removed_routes) {
        size += name.size();
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
    const auto body =
        encode_section(pick_changes(base.content, target.content, patch->removed_routes));
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
    auto result =
        make_stored_section(merge(base.content, std::move(*decoded), patch.removed_routes));
    return result->digest.value == patch.digest ? result : nullptr;
}

} // namespace cyclamenhatch::distribution
