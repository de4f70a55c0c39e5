#include "joined_paths.h"
#include "scripted_upstream.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

/// Answers whose status is none of HTTP.
namespace cyclamenhatch::edge::testing {
namespace {

struct status_row {
    const char* name;
    const char* status;
    /// Start of the caller's answer.
    const char* answer;
    bool is_refused;

    friend std::ostream& operator<<(std::ostream& out, const status_row& row) {
        return out << row.name;
    }
};

class answer_status : public ::testing::TestWithParam<status_row> {};

/// Guards against bytes that are no answer and reach a caller as one (MIXED).
TEST_P(answer_status, is_passed_on_only_if_it_is_one_of_http) {
    const auto& row = GetParam();
    running_upstream running([&](const request_place&) -> upstream_script {
        return {"HTTP/1.1 " + std::string(row.status) + " X\r\nContent-Length: 4\r\n\r\ndone"};
    });
    joined_paths paths(running.upstream.port());
    for (const auto* path : {"/once", "/all"}) {
        EXPECT_EQ(paths.get(path).rfind(row.answer, 0), 0U) << path << " " << paths.get(path);
    }
    EXPECT_EQ(paths.events("upstream_bytes_refused").empty(), !row.is_refused);
}

const status_row status_rows[] = {
    {"lowest", "200", "200 done", false},
    {"highest", "599", "599 done", false},
    {"zero", "000", "504 unknown", true},
    {"below_all", "099", "504 unknown", true},
    {"above_all", "600", "504 unknown", true},
    {"highest_of_three_digits", "999", "504 unknown", true},
    {"two_digits", "20", "504 unknown", true},
    {"four_digits", "2000", "504 unknown", true},
    {"not_a_number", "2x0", "504 unknown", true},
    {"not_asked_for", "101", "504 unknown", true},
};

INSTANTIATE_TEST_SUITE_P(rows, answer_status, ::testing::ValuesIn(status_rows),
                         [](const auto& row) { return std::string(row.param.name); });

} // namespace
} // namespace cyclamenhatch::edge::testing
