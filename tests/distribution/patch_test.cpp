#include "distribution/transfer.h"
#include "messages/envelope.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace cyclamenhatch::distribution {
namespace {

/// Routes of the large section: more than the 800 of the largest configuration that was seen.
constexpr int route_count = 1000;
/// Most bytes of a delta that changes one route. A version each 0.3 s may take a tenth of a host's
/// link of 10 Mbit/s, 37,500 bytes; a node pushes each to three others, and two thirds stay free
/// for repairs.
constexpr std::size_t one_change_bytes = 4096;

const service_id large{"large"};
const service_id small{"small"};

route make_route(int number) {
    auto digits = std::to_string(number);
    digits.insert(0, 4 - digits.size(), '0');
    return {.name = route_id{"route-" + digits},
            .service = large,
            .host = "host-" + digits + ".example.org",
            .path_prefix = "/path/" + digits,
            .written = {.revision = config_version{7}, .operation = operation_id{"op-7"}},
            .split = {{.service = large, .weight = 9}, {.service = small, .weight = 1}}};
}

section make_large() {
    section part;
    part.service = {.name = large, .owner = owner_id{"owner"}, .version = version_id{"v1"}};
    part.versions.push_back({.name = version_id{"v1"}, .service = large, .written = {}});
    for (int i = 0; i < route_count; ++i) {
        part.routes.push_back(make_route(i));
    }
    return part;
}

section make_small() {
    section part;
    part.service = {.name = small, .owner = owner_id{"owner"}, .version = version_id{"v1"}};
    part.versions.push_back({.name = version_id{"v1"}, .service = small, .written = {}});
    return part;
}

snapshot_ptr make_config(std::uint64_t version, section part) {
    auto built = build_snapshot(
        config_version{version},
        {make_stored_section(std::move(part)), make_stored_section(make_small())}, {});
    return std::get<snapshot_ptr>(std::move(built));
}

struct change_row {
    const char* name;
    void (*change)(section&);
};

class one_change : public testing::TestWithParam<change_row> {};

TEST_P(one_change, costs_no_more_than_the_change) {
    const auto before = make_config(1, make_large());
    auto part = make_large();
    GetParam().change(part);
    const auto after = make_config(2, std::move(part));
    const auto delta = make_delta(*before, *after);
    EXPECT_LE(encode_envelope(node_id{"n0"}, delta).size(), one_change_bytes);
    const auto applied = apply_delta(*before, delta);
    ASSERT_TRUE(std::holds_alternative<snapshot_ptr>(applied));
    const auto& held = *std::get<snapshot_ptr>(applied);
    EXPECT_EQ(held.digest, after->digest);
    EXPECT_EQ(held.sections.at(large)->encoded, after->sections.at(large)->encoded);
    EXPECT_EQ(held.sections.at(large)->content, after->sections.at(large)->content);
}

INSTANTIATE_TEST_SUITE_P(
    table, one_change,
    testing::Values(
        change_row{"timeout", [](section& part) { part.routes[500].timeout = milliseconds{250}; }},
        change_row{"weight", [](section& part) { part.routes[0].split[1].weight = 2; }},
        change_row{"host", [](section& part) { part.routes[999].host = "other.example.org"; }},
        change_row{"stamp",
                   [](section& part) { part.routes[3].written.operation = operation_id{"op-8"}; }},
        change_row{"added_last",
                   [](section& part) { part.routes.push_back(make_route(route_count)); }},
        change_row{"added_first",
                   [](section& part) {
                       auto added = make_route(route_count);
                       added.name = route_id{"a"};
                       part.routes.insert(part.routes.begin(), added);
                   }},
        change_row{"removed", [](section& part) { part.routes.erase(part.routes.begin() + 400); }},
        change_row{"renamed", [](section& part) { part.routes[7].name = route_id{"z"}; }},
        change_row{"owner", [](section& part) { part.service.owner = owner_id{"heir"}; }},
        change_row{"version_and_move",
                   [](section& part) {
                       part.versions.push_back({.name = version_id{"v2"}, .service = large});
                       part.moves.push_back({.name = move_id{"m1"},
                                             .service = large,
                                             .from = version_id{"v1"},
                                             .to = version_id{"v2"},
                                             .duration = seconds{30}});
                   }}),
    [](const auto& row) { return row.param.name; });

TEST(section_order, does_not_follow_the_order_of_writing) {
    auto part = make_large();
    const auto before = make_stored_section(part);
    std::reverse(part.routes.begin(), part.routes.end());
    EXPECT_EQ(make_stored_section(part)->digest, before->digest);
}

} // namespace
} // namespace cyclamenhatch::distribution
