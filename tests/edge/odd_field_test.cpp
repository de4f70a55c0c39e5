#include "joined_paths.h"
#include "scripted_upstream.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

/// Answers with header fields or trailers that are none of HTTP.
namespace cyclamenhatch::edge::testing {
namespace {

using namespace std::string_literals;

const std::string start = "HTTP/1.1 200 OK\r\n";
const std::string sized = start + "Content-Length: 5\r\n";
const std::string chunks = start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";

struct field_row {
    const char* name;
    std::string answer;
    bool is_refused;

    friend std::ostream& operator<<(std::ostream& out, const field_row& row) {
        return out << row.name;
    }
};

class answer_field : public ::testing::TestWithParam<field_row> {};

/// Guards against a line that is no field, or that continues the one before it, and that reaches
/// the caller or decides where the body ends (MIXED).
TEST_P(answer_field, is_passed_on_only_if_it_is_one_of_http) {
    const auto& row = GetParam();
    running_upstream running([&](const request_place&) -> upstream_script {
        return {row.answer, upstream_end::shut_down};
    });
    joined_paths paths(running.upstream.port());
    const std::string expected = row.is_refused ? "504 unknown" : "200 hello";
    for (const auto* line : {"GET /once", "GET /all"}) {
        for (const bool at_gate : {false, true}) {
            const auto answer = paths.ask(request(line), at_gate);
            EXPECT_EQ(answer.rfind(expected, 0), 0U)
                << line << (at_gate ? " at the gate: " : ": ") << answer;
        }
    }
    EXPECT_EQ(paths.events("upstream_bytes_refused").empty(), !row.is_refused);
}

/// A row for an answer that has this line among its fields.
field_row refused(const char* name, const std::string& line) {
    return {name, start + "X-Ok: 1\r\n" + line + "\r\nContent-Length: 5\r\n\r\nhello", true};
}

field_row accepted(const char* name, const std::string& line) {
    auto row = refused(name, line);
    row.is_refused = false;
    return row;
}

const field_row names[] = {
    refused("blank_before_the_colon", "X-Bad : 1"),
    refused("tab_before_the_colon", "X-Bad\t: 1"),
    refused("blank_within", "X Bad: 1"),
    refused("tab_within", "X\tBad: 1"),
    refused("byte_00", "X-\0-Bad: 1"s),
    refused("byte_01", "X-\x01-Bad: 1"),
    refused("byte_0b", "X-\x0b-Bad: 1"),
    refused("byte_7f", "X-\x7f-Bad: 1"),
    refused("byte_80", "X-\x80-Bad: 1"),
    refused("no_name", ": 1"),
    refused("no_colon", "X-Bad"),
    {"blank_after_the_length", start + "Content-Length : 5\r\n\r\nhello", true},
    {"blank_after_the_encoding",
     start + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
    {"blank_in_an_interim_answer", "HTTP/1.1 102 Wait\r\nX Bad: 1\r\n\r\n" + sized + "\r\nhello",
     true},
    {"blank_in_a_trailer", chunks + "X Bad: 1\r\n\r\n", true}};

INSTANTIATE_TEST_SUITE_P(names, answer_field, ::testing::ValuesIn(names),
                         [](const auto& row) { return std::string(row.param.name); });

const field_row values[] = {refused("byte_00", "X-Bad: \0"s),
                            refused("byte_01", "X-Bad: \x01"),
                            refused("bare_return", "X-Bad: a\rb"),
                            accepted("tab", "X-Good: a\tb"),
                            accepted("blanks_around", "X-Good: \t a \t"),
                            accepted("blanks_only", "X-Good: \t "),
                            accepted("empty", "X-Good:"),
                            accepted("no_blank", "X-Good:a")};

INSTANTIATE_TEST_SUITE_P(values, answer_field, ::testing::ValuesIn(values),
                         [](const auto& row) { return std::string(row.param.name); });

const field_row folds[] = {
    refused("blank", " X-Bad: 1"),
    refused("tab", "\tX-Bad: 1"),
    refused("second", " X-Bad: 1\r\n X-Bad: 2"),
    refused("without_a_name", "  more"),
    refused("blank_line", " "),
    refused("of_an_empty_value", "X-Bad:\r\n 1"),
    refused("of_an_empty_value_by_a_blank_line", "X-Bad:\r\n "),
    refused("another_length", " Content-Length: 2"),
    {"only_length", start + "X-Ok: 1\r\n Content-Length: 5\r\n\r\nhello", true},
    {"only_encoding",
     start + "X-Ok: 1\r\n Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
    {"of_the_length", start + "Content-Length:\r\n 5\r\n\r\nhello", true},
    {"last_field", sized + " X-Bad: 1\r\n\r\nhello", true},
    {"before_all_fields", start + " X-Bad: 1\r\nContent-Length: 5\r\n\r\nhello", true},
    {"in_an_interim_answer",
     "HTTP/1.1 102 Wait\r\nX-Ok: 1\r\n X-Bad: 1\r\n\r\n" + sized + "\r\nhello", true},
    {"in_a_trailer", chunks + "X-Ok: 1\r\n X-Bad: 1\r\n\r\n", true},
    {"in_the_body", sized + "\r\nhello", false}};

INSTANTIATE_TEST_SUITE_P(continuation_lines, answer_field, ::testing::ValuesIn(folds),
                         [](const auto& row) { return std::string(row.param.name); });

} // namespace
} // namespace cyclamenhatch::edge::testing
