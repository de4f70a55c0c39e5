#include "call/caller_access.h"
#include "model/digest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <variant>
#include <vector>

namespace cyclamenhatch::call {
namespace {

snapshot_ptr make_config(const std::vector<workspace>& workspaces) {
    std::vector<section_ptr> sections;
    if (!workspaces.empty()) {
        sections.push_back(make_stored_section(
            {.service = {.name = fleet_section_name()}, .workspaces = workspaces}));
    }
    auto built = build_snapshot(config_version{1}, std::move(sections), {});
    return std::get<snapshot_ptr>(std::move(built));
}

snapshot_ptr make_pulo() {
    return make_config({{.name = workspace_id("pulo"),
                         .key_digests = {compute_digest("k1"), compute_digest("k 2")}}});
}

struct access_row {
    std::vector<std::string_view> credentials;
    access_verdict verdict;
};

TEST(access, takes_one_bearer_key_of_a_workspace) {
    const auto config = make_pulo();
    for (const auto& row :
         std::vector<access_row>{{{"Bearer k1"}, access_verdict::granted},
                                 {{"bEaReR  \t k1 "}, access_verdict::granted},
                                 {{"Bearer k 2"}, access_verdict::granted},
                                 {{}, access_verdict::missing_key},
                                 {{""}, access_verdict::missing_key},
                                 {{"Bearer"}, access_verdict::missing_key},
                                 {{"Bearer  "}, access_verdict::missing_key},
                                 {{"Bearer k3"}, access_verdict::unknown_key},
                                 {{"Bearer K1"}, access_verdict::unknown_key},
                                 {{"Bearer k1,k1"}, access_verdict::unknown_key},
                                 {{"Bearer \x01\xff"}, access_verdict::unknown_key},
                                 {{"k1"}, access_verdict::other_scheme},
                                 {{"Bearerk1"}, access_verdict::other_scheme},
                                 {{"Basic k1"}, access_verdict::other_scheme},
                                 {{"Bearer k1", "Bearer k1"}, access_verdict::several_keys},
                                 {{"Bearer k1", ""}, access_verdict::several_keys}}) {
        const auto access = decide_access(*config, {}, row.credentials);
        EXPECT_EQ(access.verdict, row.verdict)
            << (row.credentials.empty() ? "none" : row.credentials.front());
        EXPECT_EQ(access.caller != nullptr, row.verdict == access_verdict::granted);
    }
}

TEST(access, to_anonymous_routes_needs_no_key) {
    const auto config = make_pulo();
    const route open{.is_anonymous = true};
    EXPECT_EQ(decide_access(*config, open, {"Bearer k1"}).caller->name, workspace_id("pulo"));
    for (const std::vector<std::string_view>& credentials : {std::vector<std::string_view>{},
                                                             {"Bearer k3"},
                                                             {"Basic k1"},
                                                             {"Bearer k1", "Bearer k1"}}) {
        const auto access = decide_access(*config, open, credentials);
        EXPECT_EQ(access.verdict, access_verdict::granted);
        EXPECT_EQ(access.caller, nullptr);
    }
}

TEST(access, is_free_without_workspaces) {
    const auto access = decide_access(*make_config({}), {}, {"Bearer k1", "Basic x"});
    EXPECT_EQ(access.verdict, access_verdict::granted);
    EXPECT_EQ(access.caller, nullptr);
}

/// A workspace without keys locks its callers out; it must not open the routes to all.
TEST(access, is_not_free_with_a_workspace_without_keys) {
    const auto config = make_config({{.name = workspace_id("pulo")}});
    EXPECT_EQ(decide_access(*config, {}, {}).verdict, access_verdict::missing_key);
    EXPECT_EQ(decide_access(*config, {}, {"Bearer "}).verdict, access_verdict::missing_key);
}

/// Guards against routes that are open to all once the last workspace has been removed.
TEST(access, is_not_free_after_the_last_workspace) {
    const auto built =
        build_snapshot(config_version{1},
                       {make_stored_section({.service = {.name = fleet_section_name()},
                                             .requires_access_key = true})},
                       {});
    const auto& config = *std::get<snapshot_ptr>(built);
    EXPECT_EQ(decide_access(config, {}, {"Bearer k1"}).verdict, access_verdict::unknown_key);
    EXPECT_EQ(decide_access(config, {}, {}).verdict, access_verdict::missing_key);
    EXPECT_EQ(decide_access(config, {.is_anonymous = true}, {"Bearer k1"}).verdict,
              access_verdict::granted);
}

RC_GTEST_PROP(access, of_any_bytes_is_granted_to_the_holder_only, (const std::string& key)) {
    const auto config = make_pulo();
    const auto credential = "Bearer " + key;
    const auto access = decide_access(*config, {}, {credential});
    RC_ASSERT(access.caller == nullptr || key.find("k1") != key.npos ||
              key.find("k 2") != key.npos);
    RC_ASSERT((access.verdict == access_verdict::granted) == (access.caller != nullptr));
}

} // namespace
} // namespace cyclamenhatch::call
