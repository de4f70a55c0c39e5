#include "admin/fake_backend.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::admin {
namespace {

constexpr const char* own_ip = "10.0.0.7";

struct api : testing::Test {
    fake_node node{.config = make_config(7, make_catalogue())};
    api_context context{
        .node = make_backend(node),
        .preview =
            [](const auto& before, const auto&, auto, const auto&) {
                return std::variant<std::map<service_id, section_ptr>, store::change_refused>(
                    before);
            },
        .own_ip = own_ip};

    api_response ask(const api_request& request) {
        std::optional<api_response> answer;
        int replies = 0;
        handle(context, request, from_unix_ms(1000), operation_id{"generated"},
               [&](api_response response) {
                   answer = std::move(response);
                   ++replies;
               });
        EXPECT_EQ(replies, 1);
        return answer.value_or(api_response{.status = 0});
    }
};

std::vector<std::string> split_path(const std::string& path) {
    std::vector<std::string> parts;
    for (std::size_t begin = 1; begin <= path.size();) {
        const auto end = std::min(path.find('/', begin), path.size());
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

api_request make_request(const std::string& method, const std::string& path,
                         const std::string& body = "",
                         std::map<std::string, std::string> headers = {}) {
    return {.method = method,
            .path = split_path(path),
            .headers = std::move(headers),
            .body = body,
            .remote_ip = own_ip};
}

struct request_row {
    const char* name;
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    int status;
    /// Must occur in the answer.
    std::string expected_text;
};

struct api_table : api, testing::WithParamInterface<request_row> {};

TEST_P(api_table, has_expected_status) {
    const auto& row = GetParam();
    const auto answer = ask(make_request(row.method, row.path, row.body, row.headers));
    EXPECT_EQ(answer.status, row.status) << answer.body;
    EXPECT_NE(answer.body.find(row.expected_text), std::string::npos) << answer.body;
    EXPECT_EQ(answer.content_type == "application/problem+json", row.status >= 400);
}

const std::string upstream_json =
    R"({"service":"catalogue","version":"v1","state":"ready","slots":12,"port":9000})";

const std::vector<request_row> reads = {
    {"all", "GET", "/v1/resources", {}, "", 200, R"({"version":7,"service":[{"name":"catalogue")"},
    {"services", "GET", "/v1/services", {}, "", 200, R"("reserved_slots":4)"},
    {"service", "GET", "/v1/services/catalogue", {}, "", 200, R"("revision":5)"},
    {"no_service", "GET", "/v1/services/x", {}, "", 404, "no such resource"},
    {"routes_of_service", "GET", "/v1/routes/catalogue", {}, "", 200, R"("name":"browse")"},
    {"routes_of_other", "GET", "/v1/routes/x", {}, "", 200, R"("route":[])"},
    {"route", "GET", "/v1/routes/catalogue/browse", {}, "", 200, R"("path_prefix":"/catalogue")"},
    {"version", "GET", "/v1/upstream-versions/catalogue/v2", {}, "", 200, R"("name":"v2")"},
    {"move", "GET", "/v1/moves/catalogue/old", {}, "", 200, R"("outcome":"taken_back")"},
    {"workspaces", "GET", "/v1/workspaces", {}, "", 200, R"("workspace":[])"},
    {"no_workspace", "GET", "/v1/workspaces/x", {}, "", 404, "no such resource"},
    {"no_fleet_service", "GET", "/v1/services/*", {}, "", 404, "no such resource"},
    {"too_deep", "GET", "/v1/routes/a/b/c", {}, "", 404, "no such path"},
    {"unknown", "GET", "/v1/things", {}, "", 404, "no such path"},
    {"root", "GET", "/", {}, "", 404, "no such path"},
    {"operation", "GET", "/v1/operations/op-5", {}, "", 200, R"("accepted","version":5)"},
    {"operation_unknown", "GET", "/v1/operations/op-9", {}, "", 200, R"("outcome":"unknown")"},
    {"health", "GET", "/v1/health", {}, "", 200, "ok"},
    {"status", "GET", "/v1/status", {}, "", 200, "status"},
    {"dump", "GET", "/v1/dump", {}, "", 200, "dump"},
    {"usage", "GET", "/v1/usage", {}, "", 200, "usage"},
    {"metrics", "GET", "/metrics", {}, "", 200, "up 1"},
    {"move_status", "GET", "/v1/move-status", {}, "", 200, R"("attempt":2,"from":"")"},
    {"quarantine", "GET", "/v1/quarantine", {}, "", 200, "quarantine"},
    {"post_quarantine", "POST", "/v1/quarantine", {}, "", 405, "use GET"},
    {"get_hold", "GET", "/v1/quarantine/0", {}, "", 405, "use DELETE"},
    {"lift_hold",
     "DELETE",
     "/v1/quarantine/0000000000000000000000000000000a",
     {},
     "",
     200,
     R"("outcome":"accepted")"},
    {"lift_unknown",
     "DELETE",
     "/v1/quarantine/1000000000000000000000000000000a",
     {},
     "",
     404,
     "no such request"},
    {"lift_malformed", "DELETE", "/v1/quarantine/12", {}, "", 400, "32 hexadecimal digits"},
    {"post_status", "POST", "/v1/status", {}, "", 405, "use GET"},
    {"put_list", "PUT", "/v1/routes", {}, "{}", 405, "use GET"},
    {"post_route", "POST", "/v1/routes/catalogue/browse", {}, "{}", 405, "use GET, PUT, DELETE"},
    {"get_apply", "GET", "/v1/apply", {}, "", 405, "use POST"},
    {"get_cancel", "GET", "/v1/moves/catalogue/to-v2/cancel", {}, "", 405, "use POST"},
};

const std::vector<request_row> writes = {
    {"create",
     "PUT",
     "/v1/routes/catalogue/x",
     {{"if-none-match", "*"}},
     R"({"path_prefix":"/x"})",
     201,
     R"({"outcome":"accepted","operation":"generated","version":8})"},
    {"replace",
     "PUT",
     "/v1/routes/catalogue/browse",
     {{"if-match", "\"7\""}},
     R"({"path_prefix":"/x"})",
     200,
     "accepted"},
    {"put_workspace",
     "PUT",
     "/v1/workspaces/pulo",
     {},
     R"({"key_digest":["00"],"calls_per_s":5})",
     200,
     "accepted"},
    {"key_instead_of_its_digest",
     "PUT",
     "/v1/workspaces/pulo",
     {},
     R"({"key":["secret"]})",
     422,
     R"("path":"key")"},
    {"bad_tag", "PUT", "/v1/routes/catalogue/x", {{"if-match", "7"}}, "{}", 400, "If-Match"},
    {"bad_none_tag",
     "DELETE",
     "/v1/services/catalogue",
     {{"if-none-match", "7"}},
     "",
     400,
     "If-None-Match"},
    {"no_json", "PUT", "/v1/routes/catalogue/x", {}, "path_prefix", 400, "not JSON"},
    {"no_object", "PUT", "/v1/routes/catalogue/x", {}, "[]", 422, "is an array"},
    {"other_name",
     "PUT",
     "/v1/services/catalogue",
     {},
     R"({"name":"x","owner":1,"versio":"v1"})",
     422,
     R"("path":"name")"},
    {"all_findings",
     "PUT",
     "/v1/services/catalogue",
     {},
     R"({"name":"x","owner":1,"versio":"v1"})",
     422,
     R"(did you mean \"version\"?)"},
    {"revision_text",
     "PUT",
     "/v1/services/catalogue",
     {},
     R"({"owner":"o","version":"v1","revision":"3"})",
     422,
     R"("path":"revision")"},
    {"system_field",
     "PUT",
     "/v1/moves/catalogue/to-v2",
     {},
     R"({"from":"v1","to":"v2","deadline":"2027-01-15T08:00:00Z","attempt":1})",
     422,
     "is set by the system"},
    {"delete",
     "DELETE",
     "/v1/routes/catalogue/browse",
     {{"if-match", "\"7\""}},
     "",
     200,
     "accepted"},
    {"delete_absent", "DELETE", "/v1/routes/catalogue/x", {}, "", 404, R"("outcome":"not-run")"},
    {"apply",
     "POST",
     "/v1/apply",
     {},
     R"({"service":[{"name":"a","owner":"o","version":"v"}]})",
     200,
     "accepted"},
    {"apply_findings",
     "POST",
     "/v1/apply",
     {},
     R"({"service":[{"name":"a"}],"rout":[]})",
     422,
     R"("path":"service[0].owner")"},
    {"bad_operation", "GET", "/v1/status", {{operation_header, "a b"}}, "", 400, "operation"},
    {"cancel", "POST", "/v1/moves/catalogue/to-v2/cancel", {}, "", 200, "accepted"},
    {"cancel_ended", "POST", "/v1/moves/catalogue/old/cancel", {}, "", 409, "has ended"},
    {"cancel_absent", "POST", "/v1/moves/x/old/cancel", {}, "", 404, "no such move"},
    {"announce", "POST", "/v1/upstream", {}, upstream_json, 200, "accepted"},
    {"announce_gone",
     "POST",
     "/v1/upstream",
     {},
     R"({"service":"catalogue","version":"v1","state":"gone"})",
     200,
     "accepted"},
    {"announce_port",
     "POST",
     "/v1/upstream",
     {},
     R"({"service":"catalogue","version":"v1","state":"ready","slots":1,"port":0})",
     422,
     R"("path":"port")"},
    {"announce_state", "POST", "/v1/upstream", {}, R"({"state":"fine"})", 422, "unknown value"},
    {"announce_nothing", "POST", "/v1/upstream", {}, "", 400, "not JSON"},
    {"get_upstream", "GET", "/v1/upstream", {}, "", 405, "use POST"},
};

const auto row_name = [](const auto& param_info) { return std::string(param_info.param.name); };
INSTANTIATE_TEST_SUITE_P(reads, api_table, testing::ValuesIn(reads), row_name);
INSTANTIATE_TEST_SUITE_P(writes, api_table, testing::ValuesIn(writes), row_name);

struct outcome_row {
    const char* name;
    decltype(store::write_reply::outcome) outcome;
    bool has_condition;
    int status;
    std::string expected_text;
};

struct api_outcome : api, testing::WithParamInterface<outcome_row> {};

TEST_P(api_outcome, is_reported) {
    node.outcome = GetParam().outcome;
    std::map<std::string, std::string> headers{{operation_header, "mine"}};
    if (GetParam().has_condition) {
        headers["if-match"] = "\"5\"";
    }
    const auto answer = ask(
        make_request("PUT", "/v1/services/catalogue", R"({"owner":"o","version":"v1"})", headers));
    EXPECT_EQ(answer.status, GetParam().status);
    EXPECT_NE(answer.body.find(GetParam().expected_text), std::string::npos) << answer.body;
    EXPECT_EQ(answer.headers.at(operation_header), "mine");
    EXPECT_EQ(answer.headers.contains("Retry-After"), GetParam().status == 503);
    ASSERT_EQ(node.written.size(), 1U);
    EXPECT_EQ(node.written[0].operation, operation_id{"mine"});
    EXPECT_EQ(node.written[0].deadline, from_unix_ms(6000));
}

const store::change_refused conflict{store::refusal_kind::conflict, {{.path = "p"}}};

INSTANTIATE_TEST_SUITE_P(
    table, api_outcome,
    testing::Values(
        outcome_row{"accepted", store::write_accepted{config_version{9}}, true, 200,
                    "\"version\":9"},
        outcome_row{"conflict", conflict, false, 409, R"("outcome":"not-run")"},
        outcome_row{"precondition", conflict, true, 412, R"("findings":[{)"},
        outcome_row{"invalid", store::change_refused{.problems = {{.path = "a"}, {.path = "b"}}},
                    false, 422, R"("path":"b")"},
        outcome_row{"not_run", store::write_not_run{"store down", milliseconds{2500}}, false, 503,
                    R"("outcome":"not-run")"},
        outcome_row{"unknown", store::write_unknown{}, false, 504, R"("outcome":"unknown")"}),
    row_name);

TEST_F(api, passes_preconditions_to_the_writer) {
    ask(make_request("PUT", "/v1/routes/catalogue/x", R"({"path_prefix":"/x"})",
                     {{"if-none-match", "*"}}));
    ask(make_request("DELETE", "/v1/routes/catalogue/browse", "", {{"if-match", "\"7\""}}));
    ask(make_request("POST", "/v1/moves/catalogue/to-v2/cancel"));
    ASSERT_EQ(node.written.size(), 3U);
    const auto& created = std::get<store::resource_write>(node.written[0].requested_change);
    const auto& deleted = std::get<store::resource_write>(node.written[1].requested_change);
    const auto& cancelled = std::get<store::resource_write>(node.written[2].requested_change);
    ASSERT_EQ(created.preconditions.size(), 1U);
    EXPECT_EQ(created.preconditions[0].expected, std::nullopt);
    EXPECT_EQ(created.routes.at(0).service, service_id{"catalogue"});
    ASSERT_EQ(deleted.preconditions.size(), 1U);
    EXPECT_EQ(deleted.preconditions[0].expected, config_version{7});
    EXPECT_EQ(deleted.deletes.at(0), deleted.preconditions[0].key);
    ASSERT_EQ(cancelled.preconditions.size(), 1U);
    EXPECT_EQ(cancelled.preconditions[0].expected, config_version{5});
    EXPECT_TRUE(cancelled.moves.at(0).cancel);
}

TEST_F(api, shows_and_deletes_a_workspace) {
    section fleet{.service = {.name = fleet_section_name()}};
    fleet.workspaces = {{.name = workspace_id{"pulo"},
                         .priority = 2,
                         .last_write = {config_version{6}, operation_id{"op-6"}}}};
    node.config = std::get<snapshot_ptr>(
        build_snapshot(config_version{7},
                       {make_stored_section(make_catalogue()), make_stored_section(fleet)}, {}));
    const auto shown = ask(make_request("GET", "/v1/workspaces/pulo"));
    EXPECT_EQ(shown.status, 200);
    EXPECT_EQ(shown.headers.at("ETag"), "\"6\"");
    EXPECT_NE(shown.body.find(R"("priority":2)"), std::string::npos) << shown.body;
    EXPECT_EQ(ask(make_request("GET", "/v1/services")).body.find("\"*\""), std::string::npos);
    EXPECT_EQ(ask(make_request("DELETE", "/v1/workspaces/pulo")).status, 200);
    ASSERT_EQ(node.written.size(), 1U);
    const auto& write = std::get<store::resource_write>(node.written[0].requested_change);
    EXPECT_EQ(write.deletes, (std::vector<store::resource_key>{
                                 {store::resource_kind::workspace, fleet_section_name(), "pulo"}}));
}

TEST_F(api, whole_service_is_deleted_in_one_write) {
    auto request = make_request("DELETE", "/v1/services/catalogue");
    request.query["whole"] = "1";
    EXPECT_EQ(ask(request).status, 200);
    ASSERT_EQ(node.written.size(), 1U);
    // The service, one route, two versions, two moves.
    EXPECT_EQ(std::get<store::resource_write>(node.written[0].requested_change).deletes.size(), 6U);
}

TEST_F(api, refused_requests_write_nothing) {
    for (const auto& row : writes) {
        node.written.clear();
        const auto answer = ask(make_request(row.method, row.path, row.body, row.headers));
        EXPECT_EQ(node.written.empty(), answer.status >= 400 || row.path == "/v1/upstream")
            << row.name;
    }
}

TEST_F(api, dry_run_writes_nothing) {
    auto request = make_request("POST", "/v1/apply", "{}");
    request.query["dry_run"] = "1";
    EXPECT_EQ(ask(request).status, 200);
    EXPECT_TRUE(node.written.empty());
}

struct api_not_ready : api, testing::WithParamInterface<bool> {};

TEST_P(api_not_ready, shows_and_changes_no_resources) {
    if (GetParam()) {
        node.config = nullptr;
    } else {
        context.node.is_ready = [] { return false; };
    }
    const auto answer = ask(make_request("POST", "/v1/apply", "{}"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.contains("Retry-After"));
    EXPECT_EQ(ask(make_request("GET", "/v1/health")).status, 503);
    EXPECT_EQ(ask(make_request("GET", "/v1/services/catalogue")).status, 503);
    EXPECT_EQ(ask(make_request("GET", "/v1/dump")).status, 200);
    EXPECT_TRUE(node.written.empty());
}

INSTANTIATE_TEST_SUITE_P(table, api_not_ready, testing::Bool());

TEST_F(api, long_bodies_are_refused) {
    const auto answer =
        ask(make_request("POST", "/v1/apply", std::string(max_body_bytes + 1, ' ')));
    EXPECT_EQ(answer.status, 413);
}

TEST_F(api, accepts_announcements_from_its_own_host_only) {
    auto request = make_request("POST", "/v1/upstream", upstream_json);
    request.remote_ip = "10.0.0.8";
    EXPECT_EQ(ask(request).status, 403);
    request.remote_ip = "127.0.0.1";
    EXPECT_EQ(ask(request).status, 200);
    ASSERT_EQ(node.announced.size(), 1U);
    EXPECT_EQ(node.announced[0].port, 9000);
    EXPECT_EQ(node.announced[0].upstream.slots, 12U);
}

/// Guards against a leave that is accepted although it may be forgotten when all nodes end (DRAIN).
TEST_F(api, accepts_a_leave_once_it_is_stored) {
    bool is_stored = false;
    context.node.when_confirmable = [&](const std::function<void(bool)>& done) { done(is_stored); };
    const auto request = make_request("POST", "/v1/upstream", upstream_json);
    EXPECT_EQ(ask(request).status, 503);
    is_stored = true;
    EXPECT_EQ(ask(request).status, 200);
}

struct token_row {
    const char* name;
    std::string path;
    std::string header;
    int status;
};

struct api_token : api, testing::WithParamInterface<token_row> {};

TEST_P(api_token, is_required) {
    context.token = "secret";
    auto request = make_request("GET", GetParam().path);
    if (!GetParam().header.empty()) {
        request.headers["authorization"] = GetParam().header;
    }
    EXPECT_EQ(ask(request).status, GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    table, api_token,
    testing::Values(token_row{"none", "/v1/status", "", 401},
                    token_row{"right", "/v1/status", "Bearer secret", 200},
                    token_row{"wrong", "/v1/status", "Bearer secreT", 401},
                    token_row{"prefix", "/v1/status", "Bearer secre", 401},
                    token_row{"longer", "/v1/status", "Bearer secretsecret", 401},
                    token_row{"other_scheme", "/v1/status", "Basic secret", 401},
                    token_row{"metrics", "/metrics", "", 401},
                    token_row{"unknown_path", "/v1/things", "", 401},
                    token_row{"health", "/v1/health", "", 200},
                    token_row{"upstream", "/v1/upstream", "", 405}),
    row_name);

} // namespace
} // namespace cyclamenhatch::admin
