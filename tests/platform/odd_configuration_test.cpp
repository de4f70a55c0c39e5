#include "model/snapshot.h"
#include "odd_entry.h"
#include "platform/operator_config.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

/// Configuration, orders and records of another writer.
namespace cyclamenhatch::platform {
namespace {

using testing::odd_row;
using testing::repeat;
using testing::replace;
using testing::test_name;

constexpr const char* order_text = R"({"service":"s1","targetVersion":"v2","duration":60})";
constexpr const char* record_text =
    R"({"service":"s1","state":"running","targetVersion":"v2","move":"m1","begunMs":5})";
constexpr const char* document_text = R"({"version":7,
  "routes":[{"name":"r1","host":"a.example","prefix":"/x/","type":"idempotent","timeout":1500,
             "targetLatency":500,"priority":2,"maxAttempts":2,"service":"s1"}],
  "services":[{"name":"s1","maxConns":130}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864}})";

class odd_order : public ::testing::TestWithParam<odd_row> {};

/// Guards against a move whose time is computed from a number out of range.
TEST_P(odd_order, is_refused) {
    EXPECT_TRUE(std::holds_alternative<findings>(read_order(replace(order_text, GetParam()))));
}

INSTANTIATE_TEST_SUITE_P(entries, odd_order,
                         ::testing::ValuesIn(std::vector<odd_row>{
                             {"duration_beyond_double", ":60", ":1e400"},
                             {"duration_beyond_int64", ":60", ":99999999999999999999"},
                             {"duration_in_ms_beyond_int64", ":60", ":9223372036854775807"},
                             {"duration_is_huge", ":60", ":1e300"},
                             {"duration_below_zero", ":60", ":-1e300"},
                             {"duration_is_text", ":60", R"(:"60")"},
                             {"nested", ":60", ":" + repeat("[", 100'000) + repeat("]", 100'000)},
                             {"service_is_no_utf8", "\"s1\"", "\"s\xe2\x82\""}}),
                         test_name);

class odd_record : public ::testing::TestWithParam<odd_row> {};

/// Guards against a move that is resumed with a start computed from a number out of range.
TEST_P(odd_record, is_refused) {
    EXPECT_TRUE(std::holds_alternative<findings>(read_record(replace(record_text, GetParam()))));
}

INSTANTIATE_TEST_SUITE_P(entries, odd_record,
                         ::testing::ValuesIn(std::vector<odd_row>{
                             {"begun_beyond_double", ":5}", ":1e400}"},
                             {"begun_beyond_int64", ":5}", ":99999999999999999999}"},
                             {"begun_at_int64", ":5}", ":9223372036854775807}"},
                             {"begun_below_zero", ":5}", ":-1}"},
                             {"begun_is_text", ":5}", R"(:"5"})"},
                             {"nested", ":5}",
                              ":" + repeat("{\"a\":", 100'000) + "1" + repeat("}", 100'001)}}),
                         test_name);

class odd_document : public ::testing::TestWithParam<odd_row> {};

/// Guards against a limit of 0 that a number beyond the field's range became.
TEST_P(odd_document, is_refused) {
    ASSERT_TRUE(std::holds_alternative<feed::operators_document>(read_document(document_text)));
    EXPECT_TRUE(
        std::holds_alternative<findings>(read_document(replace(document_text, GetParam()))));
}

INSTANTIATE_TEST_SUITE_P(
    entries, odd_document,
    ::testing::ValuesIn(std::vector<odd_row>{
        {"attempts_beyond_uint32", R"("maxAttempts":2)", R"("maxAttempts":4294967296)"},
        {"priority_beyond_uint32", R"("priority":2)", R"("priority":4294967298)"},
        {"connections_beyond_uint32", R"("maxConns":130)", R"("maxConns":4294967296)"},
        {"header_bytes_beyond_uint32", R"(:16384)", R"(:4294967296)"},
        {"timeout_beyond_double", ":1500", ":1e400"},
        {"timeout_beyond_int64", ":1500", ":99999999999999999999"},
        {"timeout_below_zero", ":1500", ":-1"},
        {"version_beyond_int64", ":7,", ":99999999999999999999,"},
        {"version_below_zero", ":7,", ":-7,"},
        {"version_is_text", ":7,", R"(:"7",)"},
        {"nested", ":1500", ":" + repeat("[", 100'000) + repeat("]", 100'000)}}),
    test_name);

/// Guards against a name or a timeout that keeps the whole configuration from taking effect
/// (CONFIG).
TEST(documents, with_rows_that_are_odd_to_this_product_take_effect) {
    for (const auto& row :
         std::vector<odd_row>{{"route_with_a_slash", R"("name":"r1")", R"("name":"shop/r1")"},
                              {"route_with_a_space", R"("name":"r1")", R"("name":"shop r1")"},
                              {"two_hours", ":1500", ":7200000"},
                              {"service_with_a_plus", "s1", "s1+b"}}) {
        auto text = std::string(document_text);
        for (auto at = text.find(row.original); at != std::string::npos;
             at = text.find(row.original, at + row.replacement.size())) {
            text.replace(at, row.original.size(), row.replacement);
        }
        auto read = read_document(text);
        ASSERT_TRUE(std::holds_alternative<feed::operators_document>(read)) << row.name;
        std::vector<section_ptr> stored;
        for (auto& content : std::get<feed::operators_document>(read).sections) {
            stored.push_back(make_stored_section(std::move(content)));
        }
        const auto built = build_snapshot(config_version{7}, std::move(stored), {});
        ASSERT_TRUE(std::holds_alternative<snapshot_ptr>(built)) << row.name;
        EXPECT_NE(find_route(*std::get<snapshot_ptr>(built), "a.example", "/x/1").matched_route,
                  nullptr);
    }
}

} // namespace
} // namespace cyclamenhatch::platform
