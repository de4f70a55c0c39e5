#include "distribution/patch.h"

#include "model/resource_codec.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamenhatch::distribution {
namespace {

/// Smaller sections go whole: a delta of one changed route may take 4 KB
/// (docs/design/spreading.md).
constexpr std::size_t smallest_patched_bytes = 4096;

using name_set = std::set<std::string_view>;

/// The routes of `to` that are new or differ, with all else of the section.
section pick_changes(const section& from, const section& to,
                     std::vector<std::string>& removed_routes) {
    std::map<std::string_view, const route*> before;
    for (const auto& each : from.routes) {
        before.emplace(each.name.value, &each);
    }
    section changes{.service = to.service, .versions = to.versions, .moves = to.moves};
    for (const auto& each : to.routes) {
        const auto held = before.find(each.name.value);
        if (held == before.end() || *held->second != each) {
            changes.routes.push_back(each);
        }
        if (held != before.end()) {
            before.erase(held);
        }
    }
    for (const auto& [name, gone] : before) {
        removed_routes.emplace_back(name);
    }
    return changes;
}

section merge(const section& base, section changes, const std::vector<std::string>& removed) {
    name_set replaced(removed.begin(), removed.end());
    for (const auto& each : changes.routes) {
        replaced.insert(each.name.value);
    }
    section merged{.service = std::move(changes.service),
                   .versions = std::move(changes.versions),
                   .moves = std::move(changes.moves)};
    merged.routes.reserve(base.routes.size() + changes.routes.size());
    for (const auto& each : base.routes) {
        if (!replaced.contains(each.name.value)) {
            merged.routes.push_back(each);
        }
    }
    std::move(changes.routes.begin(), changes.routes.end(), std::back_inserter(merged.routes));
    return merged;
}

std::size_t size_of(const msg::section_patch_msg& patch) {
    std::size_t size = patch.body.size();
    for (const auto& each : patch.removed_routes) {
        size += each.size();
    }
    return size;
}

} // namespace

std::unique_ptr<msg::section_patch_msg> make_patch(const stored_section& from,
                                                   const stored_section& to) {
    if (to.encoded.size() < smallest_patched_bytes) {
        return nullptr;
    }
    auto patch = std::make_unique<msg::section_patch_msg>();
    patch->service = to.content.service.name.value;
    patch->digest = to.digest.value;
    const auto body = encode_section(pick_changes(from.content, to.content, patch->removed_routes));
    patch->body.assign(body.begin(), body.end());
    if (size_of(*patch) >= to.encoded.size() || !apply_patch(from, *patch)) {
        return nullptr;
    }
    return patch;
}

section_ptr apply_patch(const stored_section& base, const msg::section_patch_msg& patch) {
    auto changes = decode_section(
        std::string_view(reinterpret_cast<const char*>(patch.body.data()), patch.body.size()));
    auto* read = std::get_if<section>(&changes);
    if (read == nullptr || read->service.name.value != patch.service) {
        return nullptr;
    }
    auto result = make_stored_section(merge(base.content, std::move(*read), patch.removed_routes));
    return result->digest.value == patch.digest ? result : nullptr;
}

} // namespace cyclamenhatch::distribution
