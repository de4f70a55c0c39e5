#include "edge/upstream_headers.h"
#include "joined_paths.h"

#include <gtest/gtest.h>

#include <ostream>

namespace cyclamenhatch::edge::testing {
namespace {

struct limit_row {
    const char* name;
    const char* text;
    std::optional<double> calls_per_s;
    bool is_invalid;

    friend std::ostream& operator<<(std::ostream& out, const limit_row& row) {
        return out << row.name;
    }
};

class stated_limit : public ::testing::TestWithParam<limit_row> {};

/// Guards against a limit that is misread, and against one taken from a broken header.
TEST_P(stated_limit, is_read_as_a_decimal_number) {
    const auto& row = GetParam();
    const header_names names;
    const auto statement = read_statement(names, {200, {{names.rate_limit, row.text}}});
    EXPECT_EQ(statement.calls_per_s, row.calls_per_s);
    EXPECT_EQ(statement.is_limit_invalid, row.is_invalid);
    EXPECT_FALSE(statement.is_leaving);
}

const limit_row limit_rows[] = {
    {"whole", "12", 12.0, false},
    {"decimal", "4.5", 4.5, false},
    {"zero", "0", 0.0, false},
    {"huge", "1000000000000", 1e12, false},
    {"negative", "-1", std::nullopt, true},
    {"words", "some", std::nullopt, true},
    {"unit", "12/s", std::nullopt, true},
    {"infinite", "inf", std::nullopt, true},
    {"not_a_number", "nan", std::nullopt, true},
    {"empty", "", std::nullopt, false},
};

INSTANTIATE_TEST_SUITE_P(rows, stated_limit, ::testing::ValuesIn(limit_rows),
                         [](const auto& row) { return std::string(row.param.name); });

struct load_row {
    const char* name;
    const char* text;
    std::optional<std::uint64_t> pace_percent;
    bool is_invalid;

    friend std::ostream& operator<<(std::ostream& out, const load_row& row) {
        return out << row.name;
    }
};

class stated_load : public ::testing::TestWithParam<load_row> {};

/// Guards against a load that is misread, and against a broken one that ends calls.
TEST_P(stated_load, is_read_as_figures) {
    const auto& row = GetParam();
    header_names names;
    names.load = "x-load";
    const auto statement = read_statement(names, {200, {{names.load, row.text}}});
    EXPECT_EQ(statement.pace_percent, row.pace_percent);
    EXPECT_EQ(statement.is_load_invalid, row.is_invalid);
}

const load_row load_rows[] = {
    {"usual", "3,0,8,100", 100, false},
    {"slow", "3,0,8,250", 250, false},
    {"without_pace", "3,0,8", std::nullopt, false},
    {"largest", "3,0,8,18446744073709551615", UINT64_MAX, false},
    {"too_large", "3,0,8,18446744073709551616", std::nullopt, true},
    {"too_large_elsewhere", "18446744073709551616,0,8,100", std::nullopt, true},
    {"zero_percent", "3,0,8,0", std::nullopt, true},
    {"negative", "3,0,8,-100", std::nullopt, true},
    {"letters", "3,0,8,slow", std::nullopt, true},
    {"unit", "3,0,8,100%", std::nullopt, true},
    {"decimal", "3,0,8,1.5", std::nullopt, true},
    {"two_figures", "3,0", std::nullopt, true},
    {"missing_figure", "3,,8,100", std::nullopt, true},
    {"missing_pace", "3,0,8,", std::nullopt, true},
    {"five_figures", "3,0,8,100,5", std::nullopt, true},
    {"empty", "", std::nullopt, false},
};

INSTANTIATE_TEST_SUITE_P(rows, stated_load, ::testing::ValuesIn(load_rows),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(leaving, is_read_from_its_header) {
    const header_names names;
    EXPECT_TRUE(read_statement(names, {200, {{names.leaving, "1"}}}).is_leaving);
    EXPECT_FALSE(read_statement(names, {200, {{names.leaving, "0"}}}).is_leaving);
    EXPECT_FALSE(read_statement(names, {200, {}}).is_leaving);
}

/// Guards against an upstream that gets more calls than the rate that it states (LIMIT).
TEST(limited_upstream, gets_no_more_calls_than_it_states) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    const std::string path = "/limit/0.25";
    EXPECT_EQ(paths.get(path), "200 upstream ok");
    int refused = 0;
    for (int call = 0; call < 6; ++call) {
        const auto answer = paths.get(path, "cyclamenhatch-deadline-ms: 200\r\n");
        refused += answer.substr(0, 17) == "503 not-run later" ? 1 : 0;
    }
    // One call may start at once, the next one four seconds later.
    EXPECT_EQ(upstream.runs(path), 2);
    EXPECT_EQ(refused, 5);
}

/// Guards against calls to an upstream that has said that it leaves, although its announcement
/// still says that it is ready (DRAIN).
TEST(leaving_upstream, gets_no_more_calls) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    paths.announce(msg::upstream_state::ready, upstream.port(), "i-1");
    EXPECT_EQ(paths.get("/leave"), "200 upstream ok");
    EXPECT_EQ(paths.get("/ok").substr(0, 17), "503 not-run later");
    paths.announce(msg::upstream_state::ready, upstream.port(), "i-1");
    EXPECT_EQ(paths.get("/ok").substr(0, 17), "503 not-run later");
    EXPECT_EQ(upstream.runs("/ok"), 0);
    paths.announce(msg::upstream_state::ready, upstream.port(), "i-2");
    // The entry skips a gate that refused all calls for a second, unless there is no other.
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
}

} // namespace
} // namespace cyclamenhatch::edge::testing
