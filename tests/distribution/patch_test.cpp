#include "distribution/distribution.h"
#include "distribution/transfer.h"
#include "membership/record_merge.h"
#include "messages/envelope.h"
#include "model/digest.h"
#include "model/resource_codec.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::distribution {
namespace {

/// Routes of the large section: more than the 800 of the largest known configuration.
constexpr int route_count = 1000;
/// Maximum size of a delta that changes one route. One version per 0.3 s may use a tenth of a
/// host's 10 Mbit/s link, 37,500 bytes per version. A node pushes each version to three others, and
/// two thirds of the budget stay free for repairs.
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
            .last_write = {.revision = config_version{7}, .operation = operation_id{"op-7"}},
            .split = {{.service = large, .weight = 9}, {.service = small, .weight = 1}}};
}

section make_large() {
    section part;
    part.service = {.name = large, .owner = owner_id{"owner"}, .version = version_id{"v1"}};
    part.versions.push_back({.name = version_id{"v1"}, .service = large, .last_write = {}});
    for (int i = 0; i < route_count; ++i) {
        part.routes.push_back(make_route(i));
    }
    return part;
}

section make_small() {
    section part;
    part.service = {.name = small, .owner = owner_id{"owner"}, .version = version_id{"v1"}};
    part.versions.push_back({.name = version_id{"v1"}, .service = small, .last_write = {}});
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

TEST_P(one_change, is_sent_as_a_small_delta) {
    const auto before = make_config(1, make_large());
    auto part = make_large();
    GetParam().change(part);
    const auto after = make_config(2, std::move(part));
    const auto delta = make_delta(*before, *after);
    EXPECT_LE(encode_envelope(node_id{"n0"}, delta).size(), one_change_bytes);
    const auto applied = apply_delta(*before, delta);
    ASSERT_TRUE(std::holds_alternative<snapshot_ptr>(applied));
    const auto& patched = *std::get<snapshot_ptr>(applied);
    EXPECT_EQ(patched.digest, after->digest);
    EXPECT_EQ(patched.sections.at(large)->encoded, after->sections.at(large)->encoded);
    EXPECT_EQ(patched.sections.at(large)->content, after->sections.at(large)->content);
}

INSTANTIATE_TEST_SUITE_P(
    table, one_change,
    testing::Values(
        change_row{"timeout", [](section& part) { part.routes[500].timeout = milliseconds{250}; }},
        change_row{"weight", [](section& part) { part.routes[0].split[1].weight = 2; }},
        change_row{"host", [](section& part) { part.routes[999].host = "other.example.org"; }},
        change_row{
            "stamp",
            [](section& part) { part.routes[3].last_write.operation = operation_id{"op-8"}; }},
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
                                             .old_version = version_id{"v1"},
                                             .new_version = version_id{"v2"},
                                             .duration = seconds{30}});
                   }}),
    [](const auto& row) { return row.param.name; });

TEST(section_order, does_not_depend_on_the_input_order) {
    auto part = make_large();
    const auto before = make_stored_section(part);
    std::reverse(part.routes.begin(), part.routes.end());
    EXPECT_EQ(make_stored_section(part)->digest, before->digest);
}

TEST(section_form, is_whole_when_routes_are_stored_in_another_order) {
    auto part = make_large();
    std::reverse(part.routes.begin(), part.routes.end());
    const auto encoded = encode_section(part);
    const auto opened = decode_stored_section(encoded, compute_digest(encoded));
    const auto& foreign = std::get<section_ptr>(opened);
    const auto after = std::get<snapshot_ptr>(
        build_snapshot(config_version{2}, {foreign, make_stored_section(make_small())}, {}));
    const auto before = make_config(1, make_large());
    const auto delta = make_delta(*before, *after);
    EXPECT_TRUE(delta.patched.empty());
    const auto applied = apply_delta(*before, delta);
    ASSERT_TRUE(std::holds_alternative<snapshot_ptr>(applied));
    EXPECT_EQ(std::get<snapshot_ptr>(applied)->digest, after->digest);
}

TEST(section_form, is_whole_when_most_routes_change) {
    auto part = make_large();
    for (auto& route : part.routes) {
        route.name.value.insert(0, "new-");
        route.timeout = milliseconds{5};
    }
    const auto delta = make_delta(*make_config(1, make_large()), *make_config(2, part));
    EXPECT_TRUE(delta.patched.empty());
    EXPECT_EQ(delta.changed.size(), 1U);
}

/// Version V of a series in which each version changes, adds or removes one route. Some versions
/// revert an earlier one.
snapshot_ptr make_version(std::uint64_t version, std::uint32_t seed) {
    auto part = make_large();
    part.routes.resize(60);
    for (std::uint64_t i = 1; i <= version; ++i) {
        const auto hash = (i * 7919 + seed) % 101;
        const auto position = static_cast<std::ptrdiff_t>(hash % 20);
        if (hash % 3 == 0) {
            part.routes.erase(part.routes.begin() + position);
        } else if (hash % 3 == 1) {
            auto added = make_route(static_cast<int>(2000 + i));
            part.routes.insert(part.routes.begin() + position, added);
        } else {
            part.routes[static_cast<std::size_t>(position)].timeout =
                milliseconds{1000 + static_cast<int>(hash % 2)};
        }
    }
    return make_config(version, std::move(part));
}

RC_GTEST_PROP(patch_property, produces_its_digest_or_is_not_applied, ()) {
    const auto seed = *rc::gen::inRange<std::uint32_t>(0, 1000);
    const auto base_version = *rc::gen::inRange<std::uint64_t>(1, 12);
    const auto held_version = *rc::gen::inRange<std::uint64_t>(base_version, 13);
    const auto target_version = *rc::gen::inRange<std::uint64_t>(held_version + 1, 15);
    const auto target = make_version(target_version, seed);
    const auto delta = make_delta(*make_version(base_version, seed), *target);
    const auto applied = apply_delta(*make_version(held_version, seed), delta);
    RC_ASSERT(!std::holds_alternative<findings>(applied));
    const auto* result = std::get_if<snapshot_ptr>(&applied);
    RC_ASSERT(result != nullptr || base_version != held_version);
    if (result != nullptr) {
        RC_ASSERT((*result)->digest == target->digest);
        RC_ASSERT((*result)->sections.at(large)->encoded == target->sections.at(large)->encoded);
    }
}

/// Node n1 with one other member, n0.
struct node_under_test {
    membership::table members;
    state self;
    random_source random{1};
    instant now = from_unix_ms(1'000'000);
    actions out;

    node_under_test() {
        msg::member_record_msg own;
        own.node = "n1";
        members = membership::make_table({}, own, {}, now);
        members.has_joined = true;
        msg::member_record_msg other;
        other.node = "n0";
        membership::merge_record(members, other, membership::record_source::page, now);
        self = make_state({}, now);
    }

    void hold(const snapshot_ptr& config) { offer_config(self, members, config, now, random, out); }

    void receive(peer_message message) {
        on_message(self, members, {node_id{"n0"}, std::move(message)}, now, random, out);
    }

    /// The next pull sent within two seconds.
    std::optional<msg::config_pull_msg> await_pull() {
        for (int i = 0; i < 20; ++i) {
            out.sends.clear();
            now += milliseconds{100};
            on_tick(self, members, now, random, out);
            for (const auto& message : out.sends) {
                if (const auto* pull = std::get_if<msg::config_pull_msg>(&message.message)) {
                    return *pull;
                }
            }
        }
        return std::nullopt;
    }

    /// The first delta among the messages to send.
    [[nodiscard]] std::optional<msg::config_delta_msg> sent_delta() const {
        for (const auto& message : out.sends) {
            if (const auto* delta = std::get_if<msg::config_delta_msg>(&message.message)) {
                return *delta;
            }
        }
        return std::nullopt;
    }
};

snapshot_ptr make_next_config() {
    auto part = make_large();
    part.routes[9].timeout = milliseconds{9};
    return make_config(2, std::move(part));
}

struct mismatch_row {
    const char* name;
    void (*corrupt)(msg::section_patch_msg&);
};

class patch_mismatch : public testing::TestWithParam<mismatch_row> {};

/// A patch may not fit although the version is good, as when another build encodes sections
/// differently.
TEST_P(patch_mismatch, is_followed_by_whole_sections_and_no_refusal) {
    node_under_test requester;
    node_under_test holder;
    requester.hold(make_config(1, make_large()));
    holder.hold(make_config(1, make_large()));
    holder.hold(make_next_config());
    auto corrupted = make_delta(*make_config(1, make_large()), *make_next_config());
    ASSERT_EQ(corrupted.patched.size(), 1U);
    GetParam().corrupt(*corrupted.patched.front());
    auto pull = requester.await_pull();
    // The deltas after the first stand for pushes that cross a pull to the same member.
    for (int i = 0; i < 5; ++i) {
        ASSERT_TRUE(pull.has_value());
        EXPECT_EQ(pull->accepts_patches, i == 0);
        requester.receive(corrupted);
        EXPECT_EQ(requester.self.config->version.value, 1U);
        EXPECT_TRUE(requester.self.refused.empty());
        EXPECT_FALSE(requester.self.reporting.rejected.has_value());
        pull = requester.await_pull();
    }
    ASSERT_TRUE(pull.has_value());
    EXPECT_FALSE(pull->accepts_patches);
    holder.out.sends.clear();
    holder.receive(*pull);
    const auto answer = holder.sent_delta();
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(answer->patched.empty());
    requester.receive(*answer);
    EXPECT_EQ(requester.self.config->digest, make_next_config()->digest);
    EXPECT_FALSE(requester.self.needs_whole_sections);
}

INSTANTIATE_TEST_SUITE_P(
    table, patch_mismatch,
    testing::Values(mismatch_row{"digest", [](auto& patch) { patch.digest = "00"; }},
                    mismatch_row{"damaged_body", [](auto& patch) { patch.body.resize(7); }},
                    mismatch_row{"empty_body", [](auto& patch) { patch.body.clear(); }},
                    mismatch_row{"unknown_service", [](auto& patch) { patch.service = "x"; }},
                    mismatch_row{"other_service", [](auto& patch) { patch.service = "small"; }},
                    mismatch_row{"route_too_few",
                                 [](auto& patch) { patch.removed_routes = {"route-0003"}; }}),
    [](const auto& row) { return row.param.name; });

TEST(pull_answer, is_patched_if_the_requester_accepts_patches) {
    node_under_test holder;
    const auto before = make_config(1, make_large());
    holder.hold(before);
    holder.hold(make_next_config());
    for (const auto form : {section_form::patched, section_form::whole}) {
        holder.out.sends.clear();
        holder.receive(make_pull(before, form));
        const auto answer = holder.sent_delta();
        ASSERT_TRUE(answer.has_value());
        EXPECT_EQ(answer->patched.empty(), form == section_form::whole);
        EXPECT_EQ(answer->changed.empty(), form == section_form::patched);
    }
}

} // namespace
} // namespace cyclamenhatch::distribution
