#include "membership/upstream_run.h"
#include "net/http_client.h"
#include "net/http_service.h"
#include "odd_entry.h"
#include "platform/announcements.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

/// Entries of another writer that are no entries of an endpoint.
namespace cyclamenhatch::platform {
namespace {

using testing::odd_row;
using testing::repeat;
using testing::replace;
using testing::test_name;

constexpr milliseconds test_timeout{10'000};
constexpr std::size_t deep = 15'000;

std::string heartbeat_text(int sequence) {
    return R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":12,)"
           R"("state":"ready","coldLeft":0,"sequence":)" +
           std::to_string(sequence) + R"(,"born":1700000000000})";
}

/// A node's announcement address over real connections, and the run that it holds of its upstream.
struct announced_node {
    announced_node()
        : service(net::start_http_service(io, "127.0.0.1", 0,
                                          [this](const net::service_request& request) {
                                              return answer_announcement(handlers, request);
                                          })),
          client(net::make_http_client(io,
                                       {.ip = "127.0.0.1", .port = net::service_port(*service)})) {}

    /// The status of the answer to this announcement; 0 when there was none.
    unsigned announce(const std::string& body) {
        std::optional<net::http_outcome> outcome;
        net::send(*client, {.method = "PUT", .target = "/v1/instances/i-1", .body = body},
                  test_timeout, [&](const net::http_outcome& answer) { outcome = answer; });
        while (!outcome) {
            io.run_one();
        }
        const auto* answer = std::get_if<net::http_response>(&*outcome);
        return answer == nullptr ? 0 : answer->status;
    }

    boost::asio::io_context io;
    std::vector<std::string> lines;
    membership::upstream_run run;
    int accepted = 0;
    announcement_handlers handlers{
        .on_heartbeat =
            [this](const heartbeat& announced) {
                accepted +=
                    membership::apply_announcement(run, announced.upstream, instant{}) ? 1 : 0;
                return findings{};
            },
        .on_leave = [](const std::string&) { return findings{}; },
        .on_refused =
            make_refusal_log([this](const log_event& event) { lines.push_back(to_line(event)); })};
    std::shared_ptr<net::http_service> service;
    std::shared_ptr<net::http_client> client;
};

class odd_heartbeat : public ::testing::TestWithParam<odd_row> {};

/// Guards against a node that ends, or no longer follows its endpoint, after an odd entry.
TEST_P(odd_heartbeat, names_no_endpoint_and_the_next_holds) {
    announced_node node;
    EXPECT_EQ(node.announce(heartbeat_text(4)), 200U);
    EXPECT_EQ(node.announce(replace(heartbeat_text(5), GetParam())), 400U);
    EXPECT_EQ(node.accepted, 1);
    EXPECT_EQ(node.announce(heartbeat_text(6)), 200U);
    EXPECT_EQ(node.accepted, 2);
    EXPECT_EQ(node.run.sequence, 6U);
}

/// Guards against an odd entry that nobody learns of, and against a long line for each repetition.
TEST_P(odd_heartbeat, is_logged_once) {
    announced_node node;
    const auto odd = replace(heartbeat_text(5), GetParam());
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(node.announce(odd), 400U);
        EXPECT_EQ(node.announce(heartbeat_text(6 + i)), 200U);
    }
    ASSERT_EQ(node.lines.size(), 1U);
    const std::string start = "event=announcement_refused instance=i-1 findings=";
    EXPECT_EQ(node.lines[0].substr(0, start.size()), start);
    EXPECT_LT(node.lines[0].size(), 500U);
}

const std::string address_field = R"("address":"10.0.0.9:8080")";
const std::string sequence_field = R"("sequence":5)";
const std::string slots_field = R"("slots":12)";
const std::string born_field = R"("born":1700000000000)";
const std::string cold_field = R"("coldLeft":0)";

const odd_row odd_heartbeats[] = {
    {"port_zero", address_field, R"("address":"10.0.0.9:0")"},
    {"port_beyond_range", address_field, R"("address":"10.0.0.9:65536")"},
    {"port_far_beyond_range", address_field, R"("address":"10.0.0.9:99999999999999999999")"},
    {"port_below_zero", address_field, R"("address":"10.0.0.9:-1")"},
    {"port_with_text", address_field, R"("address":"10.0.0.9:80x")"},
    {"port_missing", address_field, R"("address":"10.0.0.9:")"},
    {"no_colon", address_field, R"("address":"10.0.0.9")"},
    {"host_is_no_ip", address_field, R"("address":"nowhere:8080")"},
    {"host_is_empty", address_field, R"("address":"[]:8080")"},
    {"host_is_long", address_field, R"("address":")" + std::string(50'000, '1') + R"(:8080")"},
    {"address_is_a_number", address_field, R"("address":8080)"},
    {"sequence_beyond_double", sequence_field, R"("sequence":1e400)"},
    {"sequence_beyond_int64", sequence_field, R"("sequence":99999999999999999999)"},
    {"sequence_at_int64", sequence_field, R"("sequence":9223372036854775807)"},
    {"sequence_is_huge", sequence_field, R"("sequence":1e300)"},
    {"sequence_below_zero", sequence_field, R"("sequence":-1)"},
    {"sequence_is_a_list", sequence_field, R"("sequence":[5])"},
    {"slots_beyond_double", slots_field, R"("slots":1e400)"},
    {"slots_beyond_int64", slots_field, R"("slots":99999999999999999999)"},
    {"slots_beyond_uint32", slots_field, R"("slots":4294967297)"},
    {"born_beyond_double", born_field, R"("born":1e400)"},
    {"born_beyond_int64", born_field, R"("born":99999999999999999999)"},
    {"born_at_int64", born_field, R"("born":9223372036854775807)"},
    {"cold_beyond_double", cold_field, R"("coldLeft":1e400)"},
    {"cold_beyond_uint32", cold_field, R"("coldLeft":4294967296)"},
    {"cold_is_a_flag", cold_field, R"("coldLeft":true)"},
    {"nested_lists", cold_field, R"("coldLeft":0,"more":)" + repeat("[", deep) + repeat("]", deep)},
    {"nested_tables", cold_field,
     R"("coldLeft":0,"more":)" + repeat("{\"\":", deep / 2) + "1" + repeat("}", deep / 2)},
    {"nested_without_end", cold_field, R"("coldLeft":0,"more":)" + repeat("[", 3 * deep)},
    {"state_is_a_table", R"("state":"ready")", R"("state":{"ready":1})"},
    {"service_is_null", R"("service":"s1")", R"("service":null)"},
    {"service_is_no_utf8", R"("service":"s1")", "\"service\":\"s\xe2\x82\""},
    {"extra_field_is_no_utf8", R"("zone":"a")", "\"zone\":\"\xff\xfe\""},
    {"lone_surrogate", R"("zone":"a")", R"("zone":"\ud800")"},
    {"cut_short", R"("state":"ready")", R"("state":"rea)"},
    {"state_is_long", R"("state":"ready")", R"("state":")" + std::string(50'000, 'r') + "\""}};

INSTANTIATE_TEST_SUITE_P(entries, odd_heartbeat, ::testing::ValuesIn(odd_heartbeats), test_name);

} // namespace
} // namespace cyclamenhatch::platform
