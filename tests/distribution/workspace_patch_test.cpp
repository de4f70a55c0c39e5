#include "distribution/patch.h"
#include "model/digest.h"
#include "model/snapshot.h"

#include <gtest/gtest.h>

#include <iostream>

namespace cyclamenhatch::distribution {
namespace {

constexpr int workspace_count = 82;
/// As for a route: a tenth of a link of 10 Mbit/s carries a change of this size each 0.3 s.
constexpr std::size_t one_change_bytes = 4096;

section make_fleet() {
    section fleet{.service = {.name = fleet_section_name()}};
    for (int i = 0; i < workspace_count; ++i) {
        const auto name = "workspace-" + std::to_string(i);
        fleet.workspaces.push_back({.name = workspace_id{name},
                                    .key_digests = {compute_digest(name)},
                                    .calls_per_s = 20,
                                    .burst = 20});
    }
    return fleet;
}

TEST(workspace_patch, holds_what_changed_only) {
    const auto base = make_stored_section(make_fleet());
    auto changed = make_fleet();
    changed.workspaces[7].key_digests.clear();
    changed.workspaces.pop_back();
    changed.evacuated = {data_centre_id{"north"}};
    changed.requires_access_key = true;
    const auto target = make_stored_section(changed);
    const auto patch = make_patch(*base, *target);
    ASSERT_NE(patch, nullptr);
    EXPECT_LT(patch->body.size(), one_change_bytes);
    const auto result = apply_patch(*base, *patch);
    ASSERT_NE(result, nullptr);
    EXPECT_EQ(result->content, target->content);
}

/// Guards against keys that cost all workspaces when one comes or goes.
TEST(workspace_patch, of_one_key_costs_its_workspace_only) {
    constexpr std::size_t key_change_bytes = 512;
    const auto base = make_stored_section(make_fleet());
    auto changed = make_fleet();
    changed.workspaces[7].key_digests.push_back(compute_digest("one more"));
    const auto patch = make_patch(*base, *make_stored_section(changed));
    ASSERT_NE(patch, nullptr);
    std::cout << "bytes: " << patch->body.size() << " of " << base->encoded.size() << "\n";
    EXPECT_LT(patch->body.size(), key_change_bytes);
}

} // namespace
} // namespace cyclamenhatch::distribution
