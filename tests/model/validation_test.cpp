#include "model/snapshot.h"
#include "model/validation.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

namespace cyclamenhatch {
namespace {

section make_catalogue() {
    section content;
    content.service = {.name = service_id{"catalogue"},
                       .owner = owner_id{"shops"},
                       .version = version_id{"v1"},
                       .reserved_slots = 4};
    content.routes.push_back({.name = route_id{"browse"},
                              .service = service_id{"catalogue"},
                              .host = "",
                              .path_prefix = "/catalogue",
                              .idempotent = true});
    content.versions.push_back({.name = version_id{"v1"}, .service = service_id{"catalogue"}});
    content.versions.push_back({.name = version_id{"v2"}, .service = service_id{"catalogue"}});
    return content;
}

move make_move() {
    move resource;
    resource.name = move_id{"to-v2"};
    resource.service = service_id{"catalogue"};
    resource.old_version = version_id{"v1"};
    resource.new_version = version_id{"v2"};
    resource.deadline = from_unix_ms(1'800'000'000'000);
    return resource;
}

struct fault_row {
    const char* name;
    std::function<void(section&)> damage;
    std::string path;
};

class section_fault : public testing::TestWithParam<fault_row> {};

TEST_P(section_fault, is_reported_at_its_path) {
    auto content = make_catalogue();
    content.moves.push_back(make_move());
    ASSERT_TRUE(validate_section(content).empty());
    GetParam().damage(content);
    const auto problems = validate_section(content);
    const bool is_reported = std::any_of(problems.begin(), problems.end(), [](const finding& item) {
        return item.path == GetParam().path && !item.problem.empty() && !item.remedy.empty();
    });
    EXPECT_TRUE(is_reported) << (problems.empty() ? "no finding" : to_string(problems.front()));
}

const std::vector<fault_row> section_faults = {
    {"empty_name", [](section& content) { content.service.name = {}; }, "service.name"},
    {"no_owner", [](section& content) { content.service.owner = {}; }, "service.owner"},
    {"dangling_version", [](section& content) { content.service.version = version_id{"v9"}; },
     "service.version"},
    {"no_slots", [](section& content) { content.service.reserved_slots = 0; },
     "service.reserved_slots"},
    {"foreign_route", [](section& content) { content.routes[0].service = service_id{"x"}; },
     "route[0].service"},
    {"relative_prefix", [](section& content) { content.routes[0].path_prefix = "catalogue"; },
     "route[0].path_prefix"},
    {"zero_timeout", [](section& content) { content.routes[0].timeout = milliseconds{0}; },
     "route[0].timeout_ms"},
    {"twin_route", [](section& content) { content.routes.push_back(content.routes[0]); },
     "route[1].name"},
    {"twin_version", [](section& content) { content.versions.push_back(content.versions[0]); },
     "upstream_version[2].name"},
    {"dangling_move_target",
     [](section& content) { content.moves[0].new_version = version_id{"v9"}; }, "move[0].to"},
    {"move_to_itself", [](section& content) { content.moves[0].new_version = version_id{"v1"}; },
     "move[0].to"},
    {"move_from_elsewhere",
     [](section& content) { content.moves[0].old_version = version_id{"v2"}; }, "move[0].from"},
    {"no_share", [](section& content) { content.moves[0].first_share_permille = 0; },
     "move[0].first_share_permille"},
    {"no_calls", [](section& content) { content.moves[0].min_calls = 0; }, "move[0].min_calls"},
    {"deadline_before_bake",
     [](section& content) { content.moves[0].start = content.moves[0].deadline; },
     "move[0].deadline"},
    {"second_open_move",
     [](section& content) {
         content.moves.push_back(make_move());
         content.moves[1].name = move_id{"again"};
     },
     "move[1].service"},
};

INSTANTIATE_TEST_SUITE_P(table, section_fault, testing::ValuesIn(section_faults),
                         [](const auto& test_case) { return std::string(test_case.param.name); });

TEST(validation, finds_routes_that_match_the_same_calls_across_services) {
    const auto first = make_catalogue();
    auto second = make_catalogue();
    second.service.name = service_id{"other"};
    second.routes[0].service = service_id{"other"};
    for (auto& version : second.versions) {
        version.service = service_id{"other"};
    }
    const auto problems = validate_sections({&first, &second});
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].path, "other.route[0].path_prefix");
}

TEST(validation, ended_moves_may_name_removed_versions) {
    auto content = make_catalogue();
    content.moves.push_back(make_move());
    content.moves[0].old_version = version_id{"v0"};
    content.moves[0].ending = move_ending{};
    EXPECT_TRUE(validate_section(content).empty());
}

} // namespace
} // namespace cyclamenhatch
