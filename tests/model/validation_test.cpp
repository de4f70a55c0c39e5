#include "model/snapshot.h"
#include "model/validation.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

namespace cyclamenhatch {
namespace {

section make_catalogue() {
    section part;
    part.service = {.name = service_id{"catalogue"},
                    .owner = owner_id{"shops"},
                    .version = version_id{"v1"},
                    .reserved_slots = 4};
    part.routes.push_back({.name = route_id{"browse"},
                           .service = service_id{"catalogue"},
                           .host = "",
                           .path_prefix = "/catalogue",
                           .idempotent = true});
    part.versions.push_back({.name = version_id{"v1"}, .service = service_id{"catalogue"}});
    part.versions.push_back({.name = version_id{"v2"}, .service = service_id{"catalogue"}});
    return part;
}

move make_move() {
    move made;
    made.name = move_id{"to-v2"};
    made.service = service_id{"catalogue"};
    made.from = version_id{"v1"};
    made.to = version_id{"v2"};
    made.deadline = from_unix_ms(1'800'000'000'000);
    return made;
}

struct fault_row {
    const char* name;
    std::function<void(section&)> damage;
    std::string path;
};

class section_fault : public testing::TestWithParam<fault_row> {};

TEST_P(section_fault, is_found_at_its_place) {
    auto part = make_catalogue();
    part.moves.push_back(make_move());
    ASSERT_TRUE(validate_section(part).empty());
    GetParam().damage(part);
    const auto found = validate_section(part);
    const bool is_found = std::any_of(found.begin(), found.end(), [](const finding& each) {
        return each.path == GetParam().path && !each.problem.empty() && !each.remedy.empty();
    });
    EXPECT_TRUE(is_found) << (found.empty() ? "no finding" : to_string(found.front()));
}

const std::vector<fault_row> section_faults = {
    {"empty_name", [](section& part) { part.service.name = {}; }, "service.name"},
    {"no_owner", [](section& part) { part.service.owner = {}; }, "service.owner"},
    {"dangling_version", [](section& part) { part.service.version = version_id{"v9"}; },
     "service.version"},
    {"no_slots", [](section& part) { part.service.reserved_slots = 0; }, "service.reserved_slots"},
    {"foreign_route", [](section& part) { part.routes[0].service = service_id{"x"}; },
     "route[0].service"},
    {"relative_prefix", [](section& part) { part.routes[0].path_prefix = "catalogue"; },
     "route[0].path_prefix"},
    {"zero_timeout", [](section& part) { part.routes[0].timeout = milliseconds{0}; },
     "route[0].timeout_ms"},
    {"twin_route", [](section& part) { part.routes.push_back(part.routes[0]); }, "route[1].name"},
    {"twin_version", [](section& part) { part.versions.push_back(part.versions[0]); },
     "upstream_version[2].name"},
    {"dangling_move_target", [](section& part) { part.moves[0].to = version_id{"v9"}; },
     "move[0].to"},
    {"move_to_itself", [](section& part) { part.moves[0].to = version_id{"v1"}; }, "move[0].to"},
    {"move_from_elsewhere", [](section& part) { part.moves[0].from = version_id{"v2"}; },
     "move[0].from"},
    {"no_share", [](section& part) { part.moves[0].first_share_permille = 0; },
     "move[0].first_share_permille"},
    {"no_calls", [](section& part) { part.moves[0].min_calls = 0; }, "move[0].min_calls"},
    {"deadline_before_bake", [](section& part) { part.moves[0].start = part.moves[0].deadline; },
     "move[0].deadline"},
    {"second_open_move",
     [](section& part) {
         part.moves.push_back(make_move());
         part.moves[1].name = move_id{"again"};
     },
     "move[1].service"},
};

INSTANTIATE_TEST_SUITE_P(table, section_fault, testing::ValuesIn(section_faults),
                         [](const auto& each) { return std::string(each.param.name); });

TEST(validation, finds_routes_that_match_the_same_calls_across_services) {
    const auto first = make_catalogue();
    auto second = make_catalogue();
    second.service.name = service_id{"other"};
    second.routes[0].service = service_id{"other"};
    for (auto& each : second.versions) {
        each.service = service_id{"other"};
    }
    const auto found = validate_sections({&first, &second});
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].path, "other.route[0].path_prefix");
}

TEST(validation, closed_moves_may_name_versions_that_are_gone) {
    auto part = make_catalogue();
    part.moves.push_back(make_move());
    part.moves[0].from = version_id{"v0"};
    part.moves[0].ending = move_ending{};
    EXPECT_TRUE(validate_section(part).empty());
}

} // namespace
} // namespace cyclamenhatch
