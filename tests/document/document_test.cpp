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

std::string nest(const std::string& open, const std::string& close, std::size_t depth) {
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += open;
    }
    text += "1";
    for (std::size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

/// Guards against a stack that overflows while a nested text is parsed, copied or destroyed.
TEST(json, is_refused_when_it_is_nested_too_deeply) {
    for (const std::size_t depth : {129U, 1'000U, 100'000U, 1'000'000U}) {
        for (const auto& text : {nest("[", "]", depth), nest("{\"a\":", "}", depth),
                                 nest("[{\"a\":", "}]", depth), nest("[", "", depth)}) {
            EXPECT_TRUE(std::holds_alternative<findings>(parse_json(text, ""))) << depth;
        }
    }
    const auto parsed = parse_json(nest("[", "]", 100), "");
    ASSERT_TRUE(std::holds_alternative<document>(parsed));
    const document copy = std::get<document>(parsed);
    EXPECT_EQ(write_json(copy), nest("[", "]", 100));
}

struct number_row {
    const char* text;
    std::optional<std::int64_t> expected;
};

class number_in_json : public testing::TestWithParam<number_row> {};

/// Guards against a number out of range that becomes another number.
TEST_P(number_in_json, is_whole_and_in_range_or_none) {
    const auto parsed = parse_json(GetParam().text, "");
    ASSERT_TRUE(std::holds_alternative<document>(parsed)) << GetParam().text;
    EXPECT_EQ(whole_number(std::get<document>(parsed), 0, max_exact_number), GetParam().expected)
        << GetParam().text;
}

INSTANTIATE_TEST_SUITE_P(
    table, number_in_json,
    testing::Values(number_row{"0", 0}, number_row{"1.6", 2}, number_row{"-1", {}},
                    number_row{"-0.4", {}}, number_row{"9007199254740991", max_exact_number},
                    number_row{"9007199254740992", {}}, number_row{"9223372036854775807", {}},
                    number_row{"9223372036854775808", {}}, number_row{"99999999999999999999", {}},
                    number_row{"1e300", {}}, number_row{"1e400", {}}, number_row{"-1e400", {}},
                    number_row{"1e-400", 0}, number_row{"\"1\"", {}}, number_row{"true", {}},
                    number_row{"null", {}}, number_row{"[1]", {}}));

RC_GTEST_PROP(documents, any_text_is_parsed_or_rejected, (const std::string& text)) {
    RC_ASSERT(parse_json(text, "").index() < 2U);
    RC_ASSERT(parse_toml(text, "").index() < 2U);
}

} // namespace
} // namespace cyclamenhatch
