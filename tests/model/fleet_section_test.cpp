#include "model/digest.h"
#include "model/resource_codec.h"
#include "model/snapshot.h"
#include "model/validation.h"

#include <functional>
#include <gtest/gtest.h>
#include <limits>

namespace cyclamenhatch {
namespace {

section make_fleet() {
    section fleet{.service = {.name = fleet_section_name()}};
    fleet.workspaces.push_back({.name = workspace_id{"weavers"},
                                .key_digests = {compute_digest("key-a"), compute_digest("key-b")},
                                .priority = 0,
                                .calls_per_s = 20.5,
                                .burst = 41});
    fleet.workspaces.push_back(
        {.name = workspace_id{"potters"}, .key_digests = {compute_digest("key-c")}});
    fleet.evacuated = {data_centre_id{"south"}, data_centre_id{"north"}};
    fleet.requires_access_key = true;
    return fleet;
}

snapshot_ptr make_config(section fleet) {
    auto built = build_snapshot(config_version{3}, {make_stored_section(std::move(fleet))}, {});
    return std::get<snapshot_ptr>(std::move(built));
}

TEST(fleet_section, survives_encoding) {
    const auto stored = make_stored_section(make_fleet());
    const auto decoded = decode_stored_section(stored->encoded, stored->digest);
    EXPECT_EQ(std::get<section_ptr>(decoded)->content, stored->content);
}

TEST(fleet_section, finds_the_workspace_of_each_key) {
    const auto config = make_config(make_fleet());
    ASSERT_NE(find_workspace(*config, "key-b"), nullptr);
    EXPECT_EQ(find_workspace(*config, "key-b")->name, workspace_id{"weavers"});
    EXPECT_EQ(find_workspace(*config, "key-c")->name, workspace_id{"potters"});
    EXPECT_EQ(find_workspace(*config, "key-d"), nullptr);
    EXPECT_EQ(find_workspace(*config, ""), nullptr);
    EXPECT_TRUE(requires_access_key(*config));
}

TEST(fleet_section, names_the_evacuated_data_centres) {
    const auto config = make_config(make_fleet());
    EXPECT_TRUE(is_evacuated(*config, data_centre_id{"north"}));
    EXPECT_TRUE(is_evacuated(*config, data_centre_id{"south"}));
    EXPECT_FALSE(is_evacuated(*config, data_centre_id{"west"}));
}

TEST(fleet_section, may_be_absent) {
    const auto built = build_snapshot(config_version{3}, {}, {});
    const auto& config = *std::get<snapshot_ptr>(built);
    EXPECT_FALSE(requires_access_key(config));
    EXPECT_EQ(find_workspace(config, "key-a"), nullptr);
    EXPECT_FALSE(is_evacuated(config, data_centre_id{"north"}));
}

struct fault_row {
    const char* name;
    std::function<void(section&)> damage;
    std::string path;
};

class fleet_fault : public testing::TestWithParam<fault_row> {};

TEST_P(fleet_fault, is_found) {
    auto fleet = make_fleet();
    ASSERT_TRUE(validate_section(fleet).empty());
    GetParam().damage(fleet);
    const auto problems = validate_section(fleet);
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems.front().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    table, fleet_fault,
    testing::Values(
        fault_row{"one_key_of_two_workspaces",
                  [](section& fleet) {
                      fleet.workspaces[1].key_digests.push_back(compute_digest("key-a"));
                  },
                  "workspace[1].key_digest"},
        fault_row{"key_in_plain_text",
                  [](section& fleet) { fleet.workspaces[0].key_digests[0] = digest_id{"key-a"}; },
                  "workspace[0].key_digest"},
        fault_row{"negative_rate", [](section& fleet) { fleet.workspaces[0].calls_per_s = -1; },
                  "workspace[0].calls_per_s"},
        fault_row{"burst_without_value",
                  [](section& fleet) {
                      fleet.workspaces[1].burst = std::numeric_limits<double>::quiet_NaN();
                  },
                  "workspace[1].burst"},
        fault_row{"same_name_twice",
                  [](section& fleet) { fleet.workspaces[1].name = workspace_id{"weavers"}; },
                  "workspace[1].name"},
        fault_row{"route_of_no_service",
                  [](section& fleet) {
                      fleet.routes.push_back({.name = route_id{"all"}, .path_prefix = "/"});
                  },
                  "service.name"}),
    [](const auto& row) { return row.param.name; });

TEST(fleet_section, does_not_name_a_key_in_a_finding) {
    auto fleet = make_fleet();
    fleet.workspaces[1].key_digests.push_back(compute_digest("key-a"));
    for (const auto& problem : validate_section(fleet)) {
        EXPECT_EQ(to_string(problem).find(compute_digest("key-a").value), std::string::npos);
    }
}

TEST(fleet_section, keeps_workspaces_out_of_services) {
    section content;
    content.service = {.name = service_id{"listings"}, .owner = owner_id{"shops"}};
    content.evacuated = {data_centre_id{"north"}};
    EXPECT_EQ(validate_section(content).size(), 1U);
    content.evacuated.clear();
    EXPECT_TRUE(validate_section(content).empty());
    content.requires_access_key = true;
    EXPECT_EQ(validate_section(content).size(), 1U);
}

} // namespace
} // namespace cyclamenhatch
