#include "model/digest.h"
#include "model/snapshot.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <iostream>
#include <set>
#include <string>
#include <vector>

/// The lookups of each request, in configurations with many routes and workspaces.
namespace cyclamenhatch {
namespace {

snapshot_ptr make_config(const std::set<std::string>& prefixes, int workspaces) {
    section part{.service = {.name = service_id("s1"), .owner = owner_id("o1")}};
    for (const auto& prefix : prefixes) {
        part.routes.push_back({.name = route_id("r" + std::to_string(part.routes.size())),
                               .service = service_id("s1"),
                               .host = "shop",
                               .path_prefix = prefix});
    }
    section fleet{.service = {.name = fleet_section_name()}};
    for (int i = 0; i < workspaces; ++i) {
        const auto name = "w" + std::to_string(i);
        fleet.workspaces.push_back(
            {.name = workspace_id(name), .key_digests = {compute_digest("key of " + name)}});
    }
    auto built = build_snapshot(config_version{1},
                                {make_stored_section(part), make_stored_section(fleet)}, {});
    return std::get<snapshot_ptr>(std::move(built));
}

/// The rule as find_route states it, by a search of all prefixes.
std::string longest_match(const std::set<std::string>& prefixes, const std::string& path) {
    std::string longest;
    for (const auto& prefix : prefixes) {
        const bool is_match =
            path.starts_with(prefix) &&
            (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/');
        longest = is_match && prefix.size() > longest.size() ? prefix : longest;
    }
    return longest;
}

rc::Gen<std::string> gen_path() {
    return rc::gen::map(rc::gen::container<std::string>(rc::gen::element('a', 'b', '/')),
                        [](const std::string& rest) { return "/" + rest; });
}

RC_GTEST_PROP(route_lookup, finds_the_longest_prefix_at_a_path_boundary, ()) {
    const auto prefixes = *rc::gen::container<std::set<std::string>>(gen_path());
    const auto path = *gen_path();
    const auto config = make_config(prefixes, 0);
    const auto match = find_route(*config, "shop", path);
    const auto expected = longest_match(prefixes, path);
    RC_ASSERT((match.matched_route == nullptr ? "" : match.matched_route->path_prefix) == expected);
}

/// Guards against requests that pay for each route of their host.
TEST(lookups, of_a_request_stay_cheap_with_many_routes_on_one_host) {
    std::set<std::string> prefixes;
    for (int i = 0; i < 1000; ++i) {
        prefixes.insert("/area" + std::to_string(i) + "/part/");
    }
    const auto config = make_config(prefixes, 82);
    constexpr int lookups = 20'000;
    const auto begun = std::chrono::steady_clock::now();
    int found = 0;
    for (int i = 0; i < lookups; ++i) {
        const auto path = "/area" + std::to_string(i % 1000) + "/part/item";
        found += find_route(*config, "shop", path).matched_route != nullptr ? 1 : 0;
        found += find_workspace(*config, "key of w" + std::to_string(i % 82)) != nullptr ? 1 : 0;
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - begun;
    const auto each_us = spent.count() / lookups;
    RecordProperty("us_a_request", std::to_string(each_us));
    std::cout << "us a request: " << each_us << "\n";
    EXPECT_EQ(found, 2 * lookups);
    // A hundredth of what a request costs a node; loose, for busy machines.
    EXPECT_LT(each_us, 20);
}

} // namespace
} // namespace cyclamenhatch
