#include "document/document.h"
#include "model/digest.h"
#include "model/snapshot.h"
#include "platform/operator_config.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>

/// Workspaces, kinds of route and warm-up in the operators' configuration.
namespace cyclamenhatch::platform {
namespace {

feed::operators_document read_good(const std::string& text) {
    const auto read = read_document(text);
    if (const auto* problems = std::get_if<findings>(&read)) {
        ADD_FAILURE() << to_string(problems->front());
        return {};
    }
    return std::get<feed::operators_document>(read);
}

std::string with_tenants(const std::string& tenants) {
    return R"({"version":7,"routes":[],"services":[{"name":"s1"}],"tenants":)" + tenants + "}";
}

std::string with_route(const std::string& fields) {
    return R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/","service":"s1",)" +
           fields + R"(}],"services":[{"name":"s1"}]})";
}

std::string with_service(const std::string& fields) {
    return R"({"version":7,"routes":[],"services":[{"name":"s1",)" + fields + "}]}";
}

/// Paths of the notices, with spaces between them.
std::string notice_paths(const feed::operators_document& read) {
    std::string paths;
    for (const auto& notice : read.notices) {
        paths += (paths.empty() ? "" : " ") + notice.path;
    }
    return paths;
}

TEST(tenants, become_workspaces_that_hold_digests_of_keys) {
    const auto read = read_good(with_tenants(
        R"([{"name":"pulo","apiKeys":["k1","k2","k1"],"priority":1,"ratePerS":5.5,"burst":9},
            {"name":"ny","apiKeys":null,"priority":null}])"));
    ASSERT_EQ(read.workspaces.size(), 2U);
    const auto& first = read.workspaces[0];
    EXPECT_EQ(first.name, workspace_id("pulo"));
    EXPECT_EQ(first.key_digests, (std::vector{compute_digest("k1"), compute_digest("k2")}));
    EXPECT_EQ(first.priority, 1U);
    EXPECT_EQ(first.calls_per_s, 5.5);
    EXPECT_EQ(first.burst, 9);
    EXPECT_EQ(read.workspaces[1], workspace{.name = workspace_id("ny")});
    EXPECT_TRUE(read.notices.empty());
    EXPECT_TRUE(read_good(with_tenants("null")).workspaces.empty());
}

/// Guards against an empty list, from which the last workspace was taken, that is read like none.
TEST(tenants, require_a_key_also_if_the_list_is_empty) {
    EXPECT_TRUE(read_good(with_tenants("[]")).requires_access_key);
    EXPECT_TRUE(read_good(with_tenants(R"([{"name":"pulo"}])")).requires_access_key);
    EXPECT_FALSE(read_good(with_tenants("null")).requires_access_key);
    EXPECT_FALSE(read_good(R"({"version":7,"routes":[],"services":[]})").requires_access_key);
}

struct odd_tenant {
    const char* name;
    const char* fields;
    const char* notice;
};

class odd_tenants : public ::testing::TestWithParam<odd_tenant> {};

/// Guards against a version that is refused, with its new keys, for one value.
TEST_P(odd_tenants, lose_the_odd_value_only) {
    const auto read = read_good(
        with_tenants(std::string(R"([{"name":"a","apiKeys":["k1"],)") + GetParam().fields + "}]"));
    ASSERT_EQ(read.workspaces.size(), 1U);
    EXPECT_EQ(read.workspaces[0],
              (workspace{.name = workspace_id("a"), .key_digests = {compute_digest("k1")}}));
    EXPECT_EQ(notice_paths(read), GetParam().notice);
}

INSTANTIATE_TEST_SUITE_P(values, odd_tenants,
                         ::testing::ValuesIn(std::vector<odd_tenant>{
                             {"negative_rate", R"("ratePerS":-1)", "tenants[0].ratePerS"},
                             {"huge_rate", R"("ratePerS":1e300)", "tenants[0].ratePerS"},
                             {"infinite_rate", R"("ratePerS":1e400)", "tenants[0].ratePerS"},
                             {"rate_in_words", R"("ratePerS":"many")", "tenants[0].ratePerS"},
                             {"negative_burst", R"("burst":-0.5)", "tenants[0].burst"},
                             {"burst_is_a_list", R"("burst":[1])", "tenants[0].burst"},
                             {"negative_priority", R"("priority":-1)", "tenants[0].priority"},
                             {"priority_beyond_uint32", R"("priority":4294967296)",
                              "tenants[0].priority"},
                             {"priority_in_words", R"("priority":"first")", "tenants[0].priority"},
                             {"unknown_field", R"("colour":"red")", ""}}),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(tenants, that_cannot_be_read_are_left_out) {
    const auto read = read_good(with_tenants(
        R"([{"name":"a","apiKeys":["k1",7,""]}, 5, {"apiKeys":["k2"]}, {"name":"a\u0007b"},
            {"name":"c","apiKeys":"secret-key"}])"));
    ASSERT_EQ(read.workspaces.size(), 2U);
    EXPECT_EQ(read.workspaces[0].key_digests, std::vector{compute_digest("k1")});
    EXPECT_TRUE(read.workspaces[1].key_digests.empty());
    EXPECT_EQ(notice_paths(read), "tenants[0].apiKeys[1] tenants[0].apiKeys[2] tenants[1].name "
                                  "tenants[2].name tenants[3].name tenants[4].apiKeys");
    for (const auto& notice : read.notices) {
        EXPECT_EQ(to_string(notice).find("secret-key"), std::string::npos);
    }
}

/// Guards against a tenant whose requests get 401 since its name is none that this product would
/// choose (DENIED).
TEST(tenants, are_named_by_any_text) {
    const auto read =
        read_good(with_tenants(R"([{"name":"a b"},{"name":"m\u00fcller & co/2"},{"name":"c+d"}])"));
    EXPECT_EQ(read.workspaces.size(), 3U);
    EXPECT_EQ(notice_paths(read), "");
}

/// Guards against callers that are all served without a key since no workspace was left.
TEST(tenants, of_which_none_can_be_read_refuse_the_document) {
    for (const char* tenants : {"[5]", R"([{"name":""}])", R"({"name":"a"})", R"("a")"}) {
        EXPECT_TRUE(std::holds_alternative<findings>(read_document(with_tenants(tenants))))
            << tenants;
    }
}

/// Guards against a call that is counted for a workspace that doesn't hold its key.
TEST(tenants, that_share_a_key_refuse_the_version_without_naming_it) {
    auto read = read_good(with_tenants(
        R"([{"name":"a","apiKeys":["secret-key"]},{"name":"b","apiKeys":["secret-key"]}])"));
    const auto built =
        build_snapshot(config_version{1},
                       {make_stored_section({.service = {.name = fleet_section_name()},
                                             .workspaces = read.workspaces})},
                       {});
    const auto* problems = std::get_if<findings>(&built);
    ASSERT_NE(problems, nullptr);
    for (const auto& problem : *problems) {
        EXPECT_EQ(to_string(problem).find("secret-key"), std::string::npos);
        EXPECT_EQ(to_string(problem).find(compute_digest("secret-key").value), std::string::npos);
    }
}

/// Guards against a parser that quotes what it could not read.
TEST(damaged_document, shows_no_key_in_its_findings) {
    const auto text = with_tenants(R"([{"name":"a","apiKeys":["secret-key","secret-key-2"]}])");
    std::vector<std::string> damaged;
    for (std::size_t i = 0; i < text.size(); ++i) {
        damaged.push_back(text.substr(0, i));
        for (const char character : {'"', '\\', '{', ']', ',', '\n', '\x01', '\xff'}) {
            damaged.push_back(text);
            damaged.back()[i] = character;
        }
    }
    for (const auto& document : damaged) {
        const auto read = read_document(document);
        const auto* problems = std::get_if<findings>(&read);
        const auto& shown =
            problems != nullptr ? *problems : std::get<feed::operators_document>(read).notices;
        for (const auto& problem : shown) {
            ASSERT_EQ(to_string(problem).find("secret-k"), std::string::npos) << document;
        }
    }
}

TEST(kinds_of_route, say_what_may_be_repeated) {
    const auto read_kind = [](const std::string& type) {
        auto read = read_good(with_route(R"("timeout":5)" + type));
        return std::pair(read.sections.at(0).routes.at(0), notice_paths(read));
    };
    for (const auto* kind : {"idempotent", "download"}) {
        const auto [read, notices] = read_kind(",\"type\":\"" + std::string(kind) + "\"");
        EXPECT_TRUE(read.idempotent && !read.has_large_bodies) << kind;
        EXPECT_EQ(notices, "");
    }
    const auto [upload, upload_notices] = read_kind(R"(,"type":"upload")");
    EXPECT_TRUE(!upload.idempotent && upload.has_large_bodies);
    EXPECT_EQ(upload_notices, "");
    EXPECT_EQ(read_kind(R"(,"type":"non_idempotent")").second, "");
    for (const auto* odd : {R"(,"type":"sometimes")", R"(,"type":1)", R"(,"type":null)", ""}) {
        const auto [read, notices] = read_kind(odd);
        EXPECT_TRUE(!read.idempotent && !read.has_large_bodies) << odd;
        EXPECT_EQ(notices, "routes[0].type") << odd;
    }
}

TEST(public_routes, are_anonymous) {
    const auto is_anonymous = [](const std::string& value) {
        const auto read = read_good(with_route(R"("type":"upload","public":)" + value));
        return std::pair(read.sections.at(0).routes.at(0).is_anonymous, notice_paths(read));
    };
    EXPECT_EQ(is_anonymous("true"), std::pair(true, std::string()));
    EXPECT_EQ(is_anonymous("false"), std::pair(false, std::string()));
    EXPECT_EQ(is_anonymous("null"), std::pair(false, std::string()));
    EXPECT_EQ(is_anonymous(R"("yes")"), std::pair(false, std::string("routes[0].public")));
}

TEST(cold_services, state_how_long_and_how_many_calls) {
    const auto warm_up = [](const std::string& fields) {
        const auto read = read_good(with_service(fields));
        const auto& service = read.sections.at(0).service;
        return std::tuple(service.warm_up_time.count(), service.warm_up_calls_per_s,
                          notice_paths(read));
    };
    EXPECT_EQ(warm_up(R"("cold":3.0,"coldPerS":8.9)"), std::tuple(3000, 8.9, ""));
    EXPECT_EQ(warm_up(R"("cold":"2.5 s","coldPerS":0)"), std::tuple(2500, 0.0, ""));
    EXPECT_EQ(warm_up(R"("cold":null)"), std::tuple(0, 0.0, ""));
    for (const auto* odd : {"-1", "1e300", "1e400", "3601", R"("soon")", "[]", "true"}) {
        EXPECT_EQ(warm_up(R"("coldPerS":8,"cold":)" + std::string(odd)),
                  std::tuple(0, 8.0, "services[0].cold"));
    }
    for (const auto* odd : {"-1", "1e10", "1e400", R"("few")", "{}"}) {
        EXPECT_EQ(warm_up(R"("cold":1,"coldPerS":)" + std::string(odd)),
                  std::tuple(1000, 0.0, "services[0].coldPerS"));
    }
}

} // namespace
} // namespace cyclamenhatch::platform
