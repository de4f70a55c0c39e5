#include "model/digest.h"
#include "store/change.h"

#include <gtest/gtest.h>

/// Workspaces as resources of the API: they are in the fleet section.
namespace cyclamenhatch::store {
namespace {

const operation_id operation{"op"};

workspace make_workspace(const std::string& name, const std::string& key) {
    return {.name = workspace_id(name), .key_digests = {compute_digest(key)}};
}

resource_key key_of(const std::string& name) {
    return {resource_kind::workspace, fleet_section_name(), name};
}

section_map accept(const section_map& current, const resource_write& write, std::uint64_t version) {
    auto result = apply_change(current, write, config_version{version}, operation);
    if (auto* refused = std::get_if<change_refused>(&result)) {
        ADD_FAILURE() << to_string(refused->problems.front());
        return {};
    }
    return std::get<section_map>(std::move(result));
}

findings refuse(const section_map& current, const resource_write& write, refusal_kind kind) {
    auto result = apply_change(current, write, config_version{9}, operation);
    const auto* refused = std::get_if<change_refused>(&result);
    if (refused == nullptr) {
        ADD_FAILURE() << "accepted";
        return {};
    }
    EXPECT_EQ(refused->kind, kind);
    return refused->problems;
}

TEST(workspace_change, creates_replaces_and_deletes_one_by_one) {
    auto sections =
        accept({}, {.workspaces = {make_workspace("a", "k1"), make_workspace("b", "k2")}}, 1);
    sections = accept(sections, {.workspaces = {make_workspace("a", "k3")}}, 2);
    const auto& kept = sections.at(fleet_section_name())->content.workspaces;
    ASSERT_EQ(kept.size(), 2U);
    EXPECT_EQ(kept[0].key_digests, std::vector{compute_digest("k3")});
    EXPECT_EQ(find_revision(sections, key_of("a")), config_version{2});
    EXPECT_EQ(find_revision(sections, key_of("b")), config_version{1});
    sections = accept(sections, {.deletes = {key_of("a"), key_of("b")}}, 3);
    EXPECT_EQ(find_revision(sections, key_of("a")), std::nullopt);
    EXPECT_EQ(find_revision(sections, key_of("b")), std::nullopt);
    ASSERT_EQ(sections.size(), 1U);
    EXPECT_EQ(sections.at(fleet_section_name())->content,
              (section{.service = {.name = fleet_section_name()}, .requires_access_key = true}));
}

/// Guards against a deployment that is open to all once its last workspace is deleted.
TEST(workspace_change, that_deletes_the_last_one_leaves_access_closed) {
    auto sections = accept({}, {.workspaces = {make_workspace("a", "k1")}}, 1);
    sections = accept(sections, {.deletes = {key_of("a")}}, 2);
    std::vector<section_ptr> stored;
    for (const auto& [name, part] : sections) {
        stored.push_back(part);
    }
    const auto built = build_snapshot(config_version{2}, std::move(stored), {});
    const auto& config = *std::get<snapshot_ptr>(built);
    EXPECT_TRUE(requires_access_key(config));
    EXPECT_EQ(find_workspace(config, "k1"), nullptr);
}

TEST(workspace_change, with_a_key_of_another_workspace_is_a_finding_without_the_key) {
    const auto sections = accept({}, {.workspaces = {make_workspace("a", "k1")}}, 1);
    const auto problems =
        refuse(sections, {.workspaces = {make_workspace("b", "k1")}}, refusal_kind::invalid);
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_NE(problems[0].problem.find("has the same key"), std::string::npos);
    EXPECT_EQ(to_string(problems[0]).find(compute_digest("k1").value), std::string::npos);
}

TEST(workspace_change, is_refused_with_a_finding) {
    const auto sections = accept({}, {.workspaces = {make_workspace("a", "k1")}}, 1);
    auto odd = make_workspace("b", "k2");
    odd.key_digests = {digest_id("k2")};
    odd.calls_per_s = -1;
    EXPECT_EQ(refuse(sections, {.workspaces = {odd}}, refusal_kind::invalid).size(), 2U);
    refuse(sections, {.workspaces = {make_workspace("b", "k2"), make_workspace("b", "k3")}},
           refusal_kind::invalid);
    refuse(sections, {.deletes = {key_of("b")}}, refusal_kind::conflict);
    refuse(sections,
           {.workspaces = {make_workspace("a", "k2")},
            .preconditions = {{key_of("a"), config_version{7}}}},
           refusal_kind::conflict);
}

/// Guards against workspaces that are lost with a service of their section's name.
TEST(fleet_section, is_no_service_to_write_or_delete) {
    const auto sections = accept({}, {.workspaces = {make_workspace("a", "k1")}}, 1);
    const resource_key fleet{resource_kind::service, fleet_section_name(), "*"};
    refuse(sections, {.deletes = {fleet}}, refusal_kind::conflict);
    refuse(sections, {.services = {{.name = fleet_section_name(), .owner = owner_id("o")}}},
           refusal_kind::invalid);
    EXPECT_EQ(find_revision(sections, fleet), std::nullopt);
}

} // namespace
} // namespace cyclamenhatch::store
