#include "document/document.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch {
namespace {

using parser = result<document> (*)(std::string_view, const std::string&);

struct syntax_row {
    parser parse;
    const char* text;
    int line;
    int column;
};

class syntax_fault : public testing::TestWithParam<syntax_row> {};

TEST_P(syntax_fault, is_reported_at_its_location) {
    const auto parsed = GetParam().parse(GetParam().text, "f");
    ASSERT_TRUE(std::holds_alternative<findings>(parsed));
    const auto& problem = std::get<findings>(parsed).at(0);
    EXPECT_EQ(problem.location, (source_location{"f", GetParam().line, GetParam().column}))
        << to_string(problem);
    EXPECT_FALSE(problem.problem.empty());
    EXPECT_FALSE(problem.remedy.empty());
}

INSTANTIATE_TEST_SUITE_P(table, syntax_fault,
                         testing::Values(syntax_row{parse_toml, "a = 1\nb = = 2\n", 2, 5},
                                         syntax_row{parse_toml, "a = 1\na = 2\n", 2, 5},
                                         syntax_row{parse_json, "{\"a\": 1,\n \"b\" 2}", 2, 6},
                                         syntax_row{parse_json, "{\"a\": tru}", 1, 8},
                                         syntax_row{parse_json, "{\"a\": 1, \"a\": 2}", 0, 0}));

TEST(toml, keeps_locations_and_order) {
    const auto parsed = parse_toml("z = 1\n\n[a]\n  b = [true, 1.5, 2026-12-04T06:00:00Z]\n", "f");
    ASSERT_TRUE(std::holds_alternative<document>(parsed));
    const auto& root = std::get<document>(parsed);
    EXPECT_EQ(write_json(root), R"({"z":1,"a":{"b":[true,1.5,"2026-12-04T06:00:00Z"]}})");
    const auto* table = find_member(root, "a");
    ASSERT_NE(table, nullptr);
    const auto& member = std::get<document::table>(table->value).at(0);
    EXPECT_EQ(member.key_location, (source_location{"f", 4, 3}));
    EXPECT_EQ(member.value.location, (source_location{"f", 4, 7}));
}

TEST(json, writes_indented) {
    const document root(document::table{
        {"a", document::array{std::int64_t{1}, document()}}, {"b", document::table{}}, {"c", 2.0}});
    EXPECT_EQ(write_json(root, true),
              "{\n  \"a\": [\n    1,\n    null\n  ],\n  \"b\": {},\n  \"c\": 2.0\n}");
}

RC_GTEST_PROP(json, parses_what_it_wrote, (std::int64_t number)) {
    const auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
    const document root(document::table{{text, document::array{number, text, true}}});
    const auto parsed = parse_json(write_json(root), "");
    RC_ASSERT(std::holds_alternative<document>(parsed));
    RC_ASSERT(write_json(std::get<document>(parsed)) == write_json(root));
}

RC_GTEST_PROP(documents, any_text_is_parsed_or_rejected, (const std::string& text)) {
    RC_ASSERT(parse_json(text, "").index() < 2U);
    RC_ASSERT(parse_toml(text, "").index() < 2U);
}

} // namespace
} // namespace cyclamenhatch
