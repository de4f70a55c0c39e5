#include "model/resource_codec.h"
#include "model/snapshot.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch {
namespace {

section make_section(const std::string& name, std::vector<route> routes) {
    section content;
    content.service = {.name = service_id{name},
                       .owner = owner_id{"shops"},
                       .version = version_id{"v1"},
                       .reserved_slots = 1};
    content.versions.push_back({.name = version_id{"v1"}, .service = service_id{name}});
    content.routes = std::move(routes);
    return content;
}

route make_route(const std::string& name, const std::string& service, const std::string& host,
                 const std::string& prefix) {
    return {.name = route_id{name},
            .service = service_id{service},
            .host = host,
            .path_prefix = prefix};
}

snapshot_ptr make_snapshot() {
    auto layouts = make_section("layouts", {make_route("all", "layouts", "", "/layouts"),
                                            make_route("night", "layouts", "night", "/"),
                                            make_route("deep", "layouts", "", "/layouts/deep")});
    auto built = build_snapshot(config_version{3}, {make_stored_section(layouts)}, {});
    return std::get<snapshot_ptr>(built);
}

struct match_row {
    const char* host;
    const char* path;
    const char* expected;
};

class route_matching : public testing::TestWithParam<match_row> {};

TEST_P(route_matching, prefers_the_exact_host_then_the_longest_prefix) {
    const auto config = make_snapshot();
    const auto match = find_route(*config, GetParam().host, GetParam().path);
    EXPECT_EQ(match.matched_route == nullptr ? "" : match.matched_route->name.value,
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, route_matching,
    testing::Values(match_row{"", "/layouts", "all"}, match_row{"", "/layouts/7", "all"},
                    match_row{"", "/layouts/deep/7", "deep"}, match_row{"", "/layoutsx", ""},
                    match_row{"night", "/layouts/deep", "night"},
                    match_row{"day", "/layouts/deep", "deep"}, match_row{"", "/", ""}));

TEST(snapshot, is_not_built_with_a_dangling_reference) {
    auto content = make_section("layouts", {make_route("all", "absent", "", "/layouts")});
    const auto built = build_snapshot(config_version{1}, {make_stored_section(content)}, {});
    EXPECT_TRUE(std::holds_alternative<findings>(built));
}

TEST(snapshot, section_with_another_digest_is_rejected) {
    const auto stored = make_stored_section(make_section("layouts", {}));
    const auto decoded = decode_stored_section(stored->encoded, digest_id{"0000"});
    EXPECT_TRUE(std::holds_alternative<findings>(decoded));
}

RC_GTEST_PROP(resource_codec, decodes_what_it_encoded,
              (const std::string& host, std::uint32_t slots)) {
    auto content = make_section("layouts", {make_route("all", "layouts", host, "/layouts")});
    content.service.reserved_slots = slots;
    move ended_move;
    ended_move.name = move_id{"m"};
    ended_move.deadline = from_unix_ms(*rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000));
    ended_move.ending = move_ending{.outcome = move_outcome::done, .reason = host};
    content.moves.push_back(ended_move);
    const auto decoded = decode_section(encode_section(content));
    RC_ASSERT(std::holds_alternative<section>(decoded));
    RC_ASSERT(std::get<section>(decoded) == content);
}

RC_GTEST_PROP(resource_codec, decodes_or_rejects_any_bytes, (const std::string& bytes)) {
    RC_ASSERT(decode_section(bytes).index() < 2U);
}

struct time_row {
    const char* text;
    std::int64_t expected_ms;
};

class time_text : public testing::TestWithParam<time_row> {};

TEST_P(time_text, is_parsed_as_rfc_3339) {
    const auto parsed = parse_rfc3339(GetParam().text);
    EXPECT_EQ(parsed ? to_unix_ms(*parsed) : -1, GetParam().expected_ms);
}

INSTANTIATE_TEST_SUITE_P(table, time_text,
                         testing::Values(time_row{"1970-01-01T00:00:01Z", 1000},
                                         time_row{"1970-01-01T01:00:00.25+01:00", 250},
                                         time_row{"1970-01-01T00:00:00-00:30", 1'800'000},
                                         time_row{"1970-02-30T00:00:00Z", -1},
                                         time_row{"1970-01-01T24:00:00Z", -1},
                                         time_row{"1970-01-01 noon", -1}, time_row{"", -1}));

struct duration_row {
    const char* text;
    std::int64_t expected_us;
};

class duration_text : public testing::TestWithParam<duration_row> {};

TEST_P(duration_text, is_parsed_in_seconds) {
    const auto parsed = parse_duration(GetParam().text);
    EXPECT_EQ(parsed ? parsed->count() : -1, GetParam().expected_us);
}

INSTANTIATE_TEST_SUITE_P(table, duration_text,
                         testing::Values(duration_row{"6 s", 6'000'000},
                                         duration_row{"2.5 s", 2'500'000}, duration_row{"0 s", -1},
                                         duration_row{"-1 s", -1}, duration_row{"6", -1},
                                         duration_row{"6 ms", -1}, duration_row{"nan s", -1},
                                         duration_row{"inf s", -1}, duration_row{"", -1}));

} // namespace
} // namespace cyclamenhatch
