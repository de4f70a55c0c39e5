#include "document/document.h"
#include "model/snapshot.h"
#include "platform/announcements.h"
#include "platform/header_names.h"
#include "platform/kv_codec.h"
#include "platform/operator_config.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>

namespace cyclamenhatch::platform {
namespace {

using store::kv_failure;
using store::kv_failure_kind;

net::http_outcome answer(unsigned status, std::string body = {}) {
    return net::http_response{status, std::move(body), {}};
}

struct failure_row {
    const char* name;
    net::http_outcome outcome;
    kv_failure_kind expected;

    friend std::ostream& operator<<(std::ostream& out, const failure_row& row) {
        return out << row.name;
    }
};

class store_failure : public ::testing::TestWithParam<failure_row> {};

/// The outcome of a call tells whether it may have taken effect, and so whether it may be retried.
TEST_P(store_failure, is_classified_by_outcome) {
    const auto& row = GetParam();
    const auto read = decode_read(row.outcome);
    ASSERT_TRUE(std::holds_alternative<kv_failure>(read));
    EXPECT_EQ(std::get<kv_failure>(read).kind, row.expected);
    const auto done = decode_transaction(row.outcome);
    ASSERT_TRUE(std::holds_alternative<kv_failure>(done));
    EXPECT_EQ(std::get<kv_failure>(done).kind, row.expected);
}

const failure_row failure_rows[] = {
    {"no_connection", net::not_sent{"refused"}, kv_failure_kind::not_run},
    {"no_answer", net::no_answer{"reset"}, kv_failure_kind::unknown},
    {"too_many", answer(429), kv_failure_kind::not_run},
    {"unavailable", answer(503), kv_failure_kind::not_run},
    {"forbidden", answer(403), kv_failure_kind::not_run},
    {"history_gone", answer(410), kv_failure_kind::compacted},
    {"server_error", answer(500), kv_failure_kind::unknown},
    {"no_json", answer(200, "<html>"), kv_failure_kind::unknown},
    {"cut_short", answer(200, R"({"items":[{"key":"a")"), kv_failure_kind::unknown},
};

INSTANTIATE_TEST_SUITE_P(faults, store_failure, ::testing::ValuesIn(failure_rows),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(store_codec, reads_items_and_the_next_page) {
    const auto read = decode_read(answer(
        200, R"({"items":[{"key":"op/config","value":"aGk=","revision":7,"created":1,"lease":0}],)"
             R"("hasMore":true,"currentRev":9})"));
    const auto& page = std::get<read_page>(read);
    ASSERT_EQ(page.contents.entries.size(), 1U);
    EXPECT_EQ(page.contents.entries.front().value, "hi");
    EXPECT_EQ(page.contents.entries.front().mod_revision, 7);
    EXPECT_EQ(page.contents.revision, 9);
    EXPECT_EQ(page.next, "op/config");
}

TEST(store_codec, reads_changes_and_removals) {
    const auto read = decode_watch(
        answer(200, R"({"events":[{"key":"a","value":"eA==","revision":3,"created":3,"lease":0},)"
                    R"({"key":"b","revision":4,"isGone":true}],"currentRev":4})"));
    const auto& changes = std::get<store::kv_changes>(read);
    ASSERT_EQ(changes.changes.size(), 2U);
    EXPECT_FALSE(changes.changes[0].is_delete);
    EXPECT_TRUE(changes.changes[1].is_delete);
    EXPECT_EQ(changes.revision, 4);
}

TEST(store_codec, a_failed_condition_is_not_a_failure) {
    const auto done = decode_transaction(answer(412, R"({"items":[]})"));
    EXPECT_FALSE(std::get<store::kv_transaction_done>(done).succeeded);
    const auto success = decode_transaction(answer(200, R"({"revision":412})"));
    EXPECT_TRUE(std::get<store::kv_transaction_done>(success).succeeded);
    EXPECT_EQ(std::get<store::kv_transaction_done>(success).revision, 412);
}

TEST(store_codec, an_expired_lease_has_ttl_zero) {
    EXPECT_EQ(std::get<store::kv_lease>(decode_lease(answer(404), 5)).ttl, seconds{0});
    const auto renewed = decode_lease(answer(200, R"({"ttl_time":3000})"), 5);
    EXPECT_EQ(std::get<store::kv_lease>(renewed).ttl, seconds{3});
    EXPECT_EQ(std::get<store::kv_lease>(renewed).lease, 5);
}

TEST(store_codec, reads_the_era_of_any_answer) {
    const auto era_of = [](unsigned status, const std::string& era) {
        return read_era(net::http_response{status, "{}", era});
    };
    EXPECT_EQ(era_of(200, "7"), 7U);
    EXPECT_EQ(era_of(503, "8"), 8U);
    EXPECT_EQ(era_of(200, ""), 0U);
    EXPECT_EQ(era_of(200, "none"), 0U);
    EXPECT_EQ(read_era(net::no_answer{"timeout"}), 0U);
}

TEST(store_codec, writes_conditions_puts_and_removals) {
    const auto request = encode_transaction(
        {.compares = {{"a", 0}, {"b", 7}}, .puts = {{"a", "hi", 3}}, .deletes = {"c"}});
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.body, R"({"expect":[{"key":"a","revision":0},{"key":"b","revision":7}],)"
                            R"("puts":[{"key":"a","value":"aGk=","lease":3}],"remove":["c"]})");
    const auto read = encode_read({.key = "a b&", .is_prefix = true}, {});
    EXPECT_EQ(read.target, "/v1/kv-range?prefix=a%20b%26");
    const auto stale = encode_read({.key = "a", .may_be_stale = true}, {});
    EXPECT_EQ(stale.target, "/v1/kv-range?prefix=a&isStale=1");
}

constexpr const char* good_document = R"({"version":7,
  "routes":[
    {"name":"r1","host":"a.example","prefix":"/x/","type":"idempotent","timeout":1500,
     "targetLatency":500,"priority":2,"maxAttempts":2,
     "weightedServices":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
    {"name":"r2","host":"b.example","prefix":"/y/","type":"non_idempotent","timeout":2000,
     "targetLatency":600,"priority":1,"service":"s2","maxAttempts":2,"weightedServices":null},
    {"name":"r3","host":"b.example","prefix":"/z/","type":"download","timeout":2000,
     "service":"s1"}],
  "services":[{"name":"s1","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false},
              {"name":"s2","healthPath":"/health","maxConns":130}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":3000,
            "idleTimeout":15000},"added":"later"})";

TEST(operator_document, is_parsed_into_services_and_routes) {
    const auto read = read_document(good_document);
    ASSERT_TRUE(std::holds_alternative<feed::operators_document>(read));
    EXPECT_EQ(std::get<feed::operators_document>(read).version, 7U);
    const auto& sections = std::get<feed::operators_document>(read).sections;
    ASSERT_EQ(sections.size(), 2U);
    const auto& first = sections[0].routes.at(0);
    EXPECT_EQ(first.split.size(), 2U);
    EXPECT_EQ(first.split[1].weight, 10U);
    EXPECT_TRUE(first.idempotent);
    EXPECT_EQ(first.latency_objective, milliseconds{500});
    EXPECT_EQ(first.max_attempts, 2U);
    EXPECT_FALSE(sections[1].routes.at(0).idempotent);
    EXPECT_EQ(sections[1].routes.at(0).priority, 1U);
    // Downloads may be retried.
    EXPECT_TRUE(sections[0].routes.at(1).idempotent);
    EXPECT_EQ(sections[0].service.limits->idle_timeout, milliseconds{15'000});
    EXPECT_EQ(sections[0].service.max_connections, 130U);
    std::vector<section_ptr> stored;
    stored.reserve(sections.size());
    for (const auto& content : sections) {
        stored.push_back(make_stored_section(content));
    }
    EXPECT_TRUE(
        std::holds_alternative<snapshot_ptr>(build_snapshot(config_version{1}, stored, {})));
}

struct warm_up_row {
    const char* name;
    const char* fields;
    milliseconds time;
    double calls_per_s;

    friend std::ostream& operator<<(std::ostream& out, const warm_up_row& row) {
        return out << row.name;
    }
};

class warm_up_fields : public ::testing::TestWithParam<warm_up_row> {};

/// Guards against a bad value that takes more than its own field away.
TEST_P(warm_up_fields, are_read_or_ignored_one_by_one) {
    std::string text = good_document;
    const std::string place = R"("protocol":"h1")";
    text.replace(text.find(place), place.size(), GetParam().fields);
    const auto read = read_document(text);
    ASSERT_TRUE(std::holds_alternative<feed::operators_document>(read));
    const auto& parsed = std::get<feed::operators_document>(read).sections.at(0).service;
    EXPECT_EQ(parsed.warm_up_time, GetParam().time);
    EXPECT_EQ(parsed.warm_up_calls_per_s, GetParam().calls_per_s);
    EXPECT_EQ(parsed.max_connections, 130U);
}

const warm_up_row warm_up_rows[] = {
    {"seconds", R"("cold":3.0,"coldPerS":8.9)", milliseconds{3'000}, 8.9},
    {"whole", R"("cold":3,"coldPerS":9)", milliseconds{3'000}, 9},
    {"text_in_seconds", R"("cold":"1.5s","coldPerS":1)", milliseconds{1'500}, 1},
    {"text_in_ms", R"("cold":"300ms","coldPerS":1)", milliseconds{300}, 1},
    {"absent", R"("protocol":"h1")", milliseconds{0}, 0},
    {"null", R"("cold":null,"coldPerS":null)", milliseconds{0}, 0},
    {"negative", R"("cold":-3,"coldPerS":-1)", milliseconds{0}, 0},
    {"huge", R"("cold":1e300,"coldPerS":1e300)", milliseconds{0}, 0},
    {"one_is_bad", R"("cold":"long","coldPerS":8)", milliseconds{0}, 8},
    {"other_is_bad", R"("cold":2,"coldPerS":"8")", milliseconds{2'000}, 0},
    {"no_unit", R"("cold":"3","coldPerS":[])", milliseconds{0}, 0},
    {"not_finite", R"("cold":"infs","coldPerS":1)", milliseconds{0}, 1},
    {"text_below_zero", R"("cold":"-1s","coldPerS":1)", milliseconds{0}, 1},
};

INSTANTIATE_TEST_SUITE_P(rows, warm_up_fields, ::testing::ValuesIn(warm_up_rows),
                         [](const auto& row) { return std::string(row.param.name); });

struct document_row {
    const char* name;
    /// Text in the valid input and its replacement.
    const char* original;
    const char* replacement;

    friend std::ostream& operator<<(std::ostream& out, const document_row& row) {
        return out << row.name;
    }
};

class bad_document : public ::testing::TestWithParam<document_row> {};

TEST_P(bad_document, is_refused) {
    std::string text = good_document;
    const std::string original = GetParam().original;
    const auto position = text.find(original);
    ASSERT_NE(position, std::string::npos);
    text.replace(position, original.size(), GetParam().replacement);
    EXPECT_TRUE(std::holds_alternative<findings>(read_document(text)));
}

const document_row document_rows[] = {
    {"cut_short", R"("added":"later"})", ""},
    {"unknown_service", R"("service":"s2","maxAttempts")", R"("service":"s9","maxAttempts")"},
    {"below_zero", R"("timeout":1500)", R"("timeout":-1)"},
    {"no_host", R"("host":"a.example",)", ""},
    {"no_routes", R"("routes":[)", R"("tours":[)"},
    {"number_for_name", R"("name":"r1")", R"("name":1)"},
};

INSTANTIATE_TEST_SUITE_P(faults, bad_document, ::testing::ValuesIn(document_rows),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(move_orders, are_read_with_their_time_in_seconds) {
    const auto read = read_order(R"({"service":"s1","targetVersion":"v2","duration":12.5})");
    EXPECT_EQ(std::get<feed::move_order>(read).duration, milliseconds{12'500});
    for (const auto* bad : {"", "[]", R"({"service":"s1","targetVersion":"v2"})",
                            R"({"service":"s1","targetVersion":"v2","duration":-1})",
                            R"({"service":1,"targetVersion":"v2","duration":1})"}) {
        EXPECT_TRUE(std::holds_alternative<findings>(read_order(bad))) << bad;
    }
}

/// Guards against an order whose time does not fit the configuration's milliseconds and becomes
/// another time, or none.
TEST(move_orders, are_refused_when_their_time_cannot_be_kept) {
    const auto read_with = [](const std::string& duration) {
        return read_order(R"({"service":"s1","targetVersion":"v2","duration":)" + duration + "}");
    };
    for (const auto* bad : {"4294967.296", "5000000", "1e15", "1e300", "0.0004"}) {
        EXPECT_TRUE(std::holds_alternative<findings>(read_with(bad))) << bad;
    }
    EXPECT_EQ(std::get<feed::move_order>(read_with("4294967.295")).duration,
              milliseconds{4'294'967'295});
    EXPECT_EQ(std::get<feed::move_order>(read_with("0.001")).duration, milliseconds{1});
}

TEST(move_records, are_read_as_they_were_written) {
    for (const auto state :
         {feed::record_state::running, feed::record_state::done, feed::record_state::taken_back}) {
        const feed::move_record record{.service = service_id("s1"),
                                       .target_version = version_id("v2"),
                                       .move = move_id("order-9"),
                                       .state = state,
                                       .started_ms = 5,
                                       .reason = "why"};
        EXPECT_EQ(std::get<feed::move_record>(read_record(write_record(record))), record);
    }
}

constexpr const char* good_heartbeat =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":12,)"
    R"("state":"ready","coldLeft":0,"sequence":4,"born":1700000000000})";

TEST(heartbeats, are_translated_to_upstream_records) {
    const auto read = read_heartbeat("i-1", good_heartbeat);
    ASSERT_TRUE(std::holds_alternative<heartbeat>(read));
    const auto& upstream = std::get<heartbeat>(read).upstream;
    EXPECT_EQ(upstream.instance, "i-1");
    EXPECT_EQ(upstream.state, msg::upstream_state::ready);
    EXPECT_EQ(upstream.started_ms, 1'700'000'000'000U);
    EXPECT_EQ(upstream.slots, 12U);
}

class bad_heartbeat : public ::testing::TestWithParam<document_row> {};

TEST_P(bad_heartbeat, is_refused_without_calling_the_handler) {
    std::string text = good_heartbeat;
    const std::string original = GetParam().original;
    text.replace(text.find(original), original.size(), GetParam().replacement);
    int heartbeats = 0;
    const announcement_handlers handlers{.on_heartbeat =
                                             [&](const heartbeat&) {
                                                 ++heartbeats;
                                                 return findings{};
                                             },
                                         .on_leave = [](const std::string&) { return findings{}; }};
    const auto refusal = answer_announcement(
        handlers, {.method = "PUT", .target = "/v1/instances/i-1", .body = text});
    EXPECT_EQ(refusal.status, 400U);
    EXPECT_EQ(heartbeats, 0);
}

const document_row heartbeat_rows[] = {
    {"unknown_state", R"("state":"ready")", R"("state":"sleeping")"},
    {"no_service", R"("service":"s1",)", ""},
    {"slots_as_text", R"("slots":12)", R"("slots":"12")"},
    {"no_slots", R"("slots":12)", R"("slots":0)"},
    {"sequence_below_zero", R"("sequence":4)", R"("sequence":-4)"},
    {"no_json", R"({"service")", R"(service)"},
};

INSTANTIATE_TEST_SUITE_P(faults, bad_heartbeat, ::testing::ValuesIn(heartbeat_rows),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(announcements, are_distinguished_by_method_and_path) {
    std::string leaving_instance;
    const announcement_handlers handlers{
        .on_heartbeat = [](const heartbeat&) { return findings{}; },
        .on_leave =
            [&](const std::string& instance) {
                leaving_instance = instance;
                return findings{};
            }};
    const auto status = [&](const char* method, const char* target, const char* body) {
        return answer_announcement(handlers, {method, target, body}).status;
    };
    EXPECT_EQ(status("PUT", "/v1/instances/i-1", good_heartbeat), 200U);
    EXPECT_EQ(status("DELETE", "/v1/instances/i-7", ""), 200U);
    EXPECT_EQ(leaving_instance, "i-7");
    EXPECT_EQ(status("PUT", "/v1/instances/", good_heartbeat), 404U);
    EXPECT_EQ(status("GET", "/v1/instances/i-1", ""), 405U);
    EXPECT_EQ(status("PUT", "/elsewhere", good_heartbeat), 404U);
    EXPECT_EQ(answer_readiness(true, {"GET", "/v1/readiness", {}}).status, 200U);
    EXPECT_EQ(answer_readiness(false, {"GET", "/v1/readiness", {}}).status, 503U);
}

/// Guards against using the platform's wire names outside its folder.
/// Guards against a statement of the upstream that is not read since its header has another name
/// (LIMIT, DRAIN).
TEST(header_names, cover_what_upstreams_say_of_themselves) {
    const auto headers = make_header_names();
    EXPECT_EQ(headers.rate_limit, "Server-Limit");
    EXPECT_EQ(headers.leaving, "Server-Leaving");
}

TEST(wire_names, occur_in_the_platform_folder_only) {
    const std::vector<std::string> names{"X-Server-Stamp",   "X-Expect-Instance", "X-Not-Executed",
                                         "X-Caller-Service", "X-Server-Load",     "kv-txn",
                                         "kv-range",         "kv-watch",          "kv-lease",
                                         "op/config",        "op/rollout",        "status/rollout",
                                         "heartbeatAddr",    "weightedServices",  "coldLeft",
                                         "coldPerS",         "X-Request-Id",      "X-Deadline-Ms",
                                         "targetVersion",    "rolled_back",       "v1/instances",
                                         "v1/readiness",     "Server-Limit",      "Server-Leaving"};
    const std::filesystem::path root(SOURCE_ROOT);
    for (const auto* folder : {"src", "bench", "schema"}) {
        for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
            if (!entry.is_regular_file()) {
                continue;
            }
            std::ifstream file(entry.path());
            std::stringstream text;
            text << file.rdbuf();
            for (const auto& name : names) {
                EXPECT_EQ(text.str().find(name), std::string::npos)
                    << name << " in " << entry.path().lexically_relative(root);
            }
        }
    }
}

} // namespace
} // namespace cyclamenhatch::platform
