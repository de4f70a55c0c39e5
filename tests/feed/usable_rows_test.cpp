#include "feed/feed_fixture.h"
#include "feed/usable_rows.h"
#include "model/digest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>

/// Rows of the operators' configuration and orders that can't be used, beside others that can.
namespace cyclamenhatch::feed {
namespace {

using namespace testing;

std::size_t count_moves(const snapshot& config) {
    std::size_t moves = 0;
    for (const auto& [name, part] : config.sections) {
        moves += part->content.moves.size();
    }
    return moves;
}

/// Guards against a version whose name this product would not choose and that can't be moved to
/// (CONFIG).
TEST(orders, name_versions_by_any_text) {
    for (const auto* version : {"2.4.0+hotfix.1", "release 7", "v2/a", "v\xc3\xa9"}) {
        reader_fixture fixture;
        fixture.store.put("op/document", "/first/");
        fixture.store.put("op/orders/ledger", version);
        fixture.start_watching();
        ASSERT_TRUE(fixture.snapshot) << version;
        const auto& moves = fixture.snapshot->sections.at(service_id("ledger"))->content.moves;
        ASSERT_EQ(moves.size(), 1U) << version;
        EXPECT_EQ(moves.front().new_version, version_id(version));
        EXPECT_TRUE(fixture.rejection_reasons.empty());
    }
}

/// Guards against an order that can't be used and keeps every later configuration from taking
/// effect (CONFIG).
TEST(orders, that_cannot_be_used_cost_only_their_move) {
    for (const auto& version : {std::string(), std::string("v\n2"), std::string(300, 'v')}) {
        reader_fixture fixture;
        fixture.store.put("op/document", "/first/");
        fixture.start_watching();
        fixture.store.put("op/orders/ledger", version);
        fixture.deliver_change("op/orders/ledger");
        EXPECT_FALSE(fixture.rejection_reasons.empty());
        fixture.store.put("op/document", "/second/");
        fixture.deliver_change("op/document");
        EXPECT_EQ(fixture.prefix(), "/second/");
        EXPECT_EQ(count_moves(*fixture.snapshot), 0U);
        // A node that starts while the order lies there.
        reader_fixture later;
        later.store = fixture.store;
        later.start_watching();
        EXPECT_EQ(later.prefix(), "/second/");
        // The next order is carried out.
        fixture.store.put("op/orders/ledger", "v3");
        fixture.deliver_change("op/orders/ledger");
        EXPECT_EQ(count_moves(*fixture.snapshot), 1U);
    }
}

section make_service(const std::string& name) {
    return {.service = {.name = service_id(name), .owner = owner_id("members")}};
}

route make_route(const std::string& name, const service_id& service, const std::string& prefix) {
    return {.name = route_id(name), .service = service, .path_prefix = prefix};
}

/// A name that no rule of this product's own format would accept.
rc::Gen<std::string> any_name() {
    return rc::gen::element<std::string>("r 1", "r/1", "r.route[0]", "r[1].name", "r+1", "\xc3\xa9",
                                         "*", "service");
}

/// Damages a row so that it can't be used.
route damage(route odd) {
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        odd.name = {};
        break;
    case 1:
        odd.name = route_id("r\t1");
        break;
    case 2:
        odd.path_prefix = "no-slash";
        break;
    case 3:
        odd.timeout = milliseconds{*rc::gen::element(0, -1, 3'600'001)};
        break;
    default:
        odd.split = {{.service = odd.service}, {.service = service_id("nobody")}};
        break;
    }
    return odd;
}

struct mixed_rows {
    std::vector<section> sections;
    std::set<std::string> good_prefixes;
    std::size_t odd = 0;
};

mixed_rows make_mixed_rows() {
    mixed_rows rows;
    const auto first_name = *any_name();
    for (const auto& name : {first_name == "*" ? "s" : first_name, first_name + ".route[0]"}) {
        rows.sections.push_back(make_service(name));
        auto& content = rows.sections.back();
        const auto count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < count; ++i) {
            const auto prefix =
                "/" + std::to_string(rows.sections.size()) + "/" + std::to_string(i) + "/";
            auto row = make_route(*any_name() + std::to_string(i), content.service.name, prefix);
            if (*rc::gen::arbitrary<bool>()) {
                row = damage(std::move(row));
                ++rows.odd;
            } else {
                rows.good_prefixes.insert(prefix);
            }
            content.routes.push_back(std::move(row));
        }
    }
    return rows;
}

/// Guards against one row that takes sound ones with it, or that keeps a version from taking
/// effect.
RC_GTEST_PROP(unusable_rows, cost_only_themselves, ()) {
    auto rows = make_mixed_rows();
    const auto problems = remove_unusable(rows.sections);
    RC_ASSERT(problems.empty() == (rows.odd == 0));
    std::vector<section_ptr> stored;
    std::set<std::string> kept;
    for (const auto& content : rows.sections) {
        for (const auto& row : content.routes) {
            kept.insert(row.path_prefix);
        }
        stored.push_back(make_stored_section(content));
    }
    RC_ASSERT(kept == rows.good_prefixes);
    const auto built = build_snapshot(config_version{1}, std::move(stored), {});
    RC_ASSERT(std::holds_alternative<snapshot_ptr>(built));
}

TEST(unusable_rows, of_services_are_the_later_of_two_and_those_without_a_name) {
    std::vector<section> sections{make_service("a"), make_service(""), make_service("a"),
                                  make_service("b")};
    sections[0].routes = {make_route("r1", service_id("a"), "/kept/")};
    EXPECT_FALSE(remove_unusable(sections).empty());
    ASSERT_EQ(sections.size(), 2U);
    EXPECT_EQ(sections[0].routes.size(), 1U);
    EXPECT_EQ(sections[1].service.name, service_id("b"));
}

TEST(unusable_rows, of_two_for_the_same_calls_are_the_later_one) {
    std::vector<section> sections{make_service("a"), make_service("b")};
    sections[0].routes = {make_route("r1", service_id("a"), "/x/")};
    sections[1].routes = {make_route("r1", service_id("b"), "/x/"),
                          make_route("r2", service_id("b"), "/y/")};
    EXPECT_EQ(remove_unusable(sections).size(), 1U);
    EXPECT_EQ(sections[0].routes.size(), 1U);
    ASSERT_EQ(sections[1].routes.size(), 1U);
    EXPECT_EQ(sections[1].routes[0].path_prefix, "/y/");
}

/// Guards against requests that are counted for a workspace which doesn't hold their key.
TEST(unusable_rows, are_never_workspaces) {
    const auto key = compute_digest("k");
    std::vector<section> sections{
        {.service = {.name = fleet_section_name()},
         .workspaces = {{.name = workspace_id("a"), .key_digests = {key}},
                        {.name = workspace_id("b"), .key_digests = {key}}}}};
    EXPECT_TRUE(remove_unusable(sections).empty());
    EXPECT_EQ(sections[0].workspaces.size(), 2U);
}

TEST(reserved_names, are_no_services) {
    std::vector<section> sections{make_service("*"), make_service("a")};
    EXPECT_EQ(remove_reserved(sections).size(), 1U);
    ASSERT_EQ(sections.size(), 1U);
    EXPECT_EQ(sections[0].service.name, service_id("a"));
}

} // namespace
} // namespace cyclamenhatch::feed
