#include "cli/fake_environment.h"
#include "document/document.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::cli {
namespace {

using words = std::vector<std::string>;

const http_failure refused{.was_sent = false, .reason = "refused"};
const http_failure lost{.was_sent = true, .reason = "broken off"};

http_answer answer(int status, const std::string& body) {
    return {.status = status, .headers = {}, .body = body};
}

const std::string accepted = R"({"outcome":"accepted","operation":"made","version":8})";
const std::string problem = R"({"detail":"not valid","outcome":"not-run",)"
                            R"("findings":[{"path":"a.b","problem":"is wrong","remedy":"mend"}]})";
const std::string good_move = R"([[move]]
name = "to-v2"
service = "catalogue"
from = "v1"
to = "v2"
deadline = 2027-06-01T06:00:00Z
)";
/// In the form that `get --output json` prints.
const std::string shown_file = R"({"version": 8, "service": [], "route": [], "upstream_version": [],
  "move": [{"name": "m", "service": "catalogue", "from": "v1", "to": "v2",
            "deadline": "2027-06-01T06:00:00Z", "attempt": 2, "revision": 7, "operation": "o"}]})";
const std::string bad_file = "[[route]]\nname = 1\n[[servic]]\n";

struct run_row {
    const char* name;
    words arguments;
    std::vector<http_result> answers;
    exit_code expected;
    /// Must occur in the output.
    std::string expected_text;
};

class verb : public testing::TestWithParam<run_row> {};

TEST_P(verb, has_expected_exit_code) {
    fake_environment env{
        .files = {{"move.toml", good_move}, {"bad.toml", bad_file}, {"bad.json", "{\"move\": [}"}}};
    env.files["shown"] = shown_file;
    env.answers.assign(GetParam().answers.begin(), GetParam().answers.end());
    EXPECT_EQ(env.run(GetParam().arguments), GetParam().expected) << env.out.str() << env.err.str();
    const auto shown = env.out.str() + env.err.str();
    EXPECT_NE(shown.find(GetParam().expected_text), std::string::npos) << shown;
}

const auto row_name = [](const auto& param_info) { return std::string(param_info.param.name); };

const std::vector<run_row> usage_rows = {
    {"no_verb", {}, {}, exit_code::usage, "subcommand"},
    {"unknown_verb", {"aply"}, {}, exit_code::usage, "did you mean \"apply\"?"},
    {"unknown_option", {"status", "--fast"}, {}, exit_code::usage, "--fast"},
    {"bad_output", {"status", "--output", "xml"}, {}, exit_code::usage, "output"},
    {"apply_nothing", {"apply"}, {}, exit_code::usage, "--file"},
    {"check_nothing", {"check"}, {}, exit_code::usage, "required"},
    {"no_kind", {"get", "frob"}, {}, exit_code::usage, "is no kind"},
    {"delete_half", {"delete", "route", "catalogue"}, {}, exit_code::usage, "name the service"},
    {"move_alone", {"move"}, {}, exit_code::usage, "subcommand"},
    {"bad_policy",
     {"move", "start", "--service", "s", "--name", "n", "--from", "a", "--to", "b", "--deadline",
      "x", "--on-little-traffic", "hope"},
     {},
     exit_code::usage,
     "on-little-traffic"},
    {"help", {"--help"}, {}, exit_code::done, "Exit codes"},
    {"version", {"version"}, {}, exit_code::done, "cyclamenhatch "},
};

const std::vector<run_row> local_rows = {
    {"check_missing", {"check", "--resources", "x"}, {}, exit_code::refused, "x: cannot be read"},
    {"check_bad",
     {"check", "--resources", "bad.toml"},
     {},
     exit_code::refused,
     "bad.toml:3:3: servic: unknown key"},
    {"check_all_files",
     {"check", "--resources", "bad.toml", "bad.json"},
     {},
     exit_code::refused,
     "bad.json:1:12:"},
    {"check_both",
     {"check", "--settings", "move.toml", "--resources", "bad.toml"},
     {},
     exit_code::refused,
     "move.toml:1:1: move: is an array"},
    {"node_bad_settings", {"node", "--settings", "move.toml"}, {}, exit_code::refused, "move.toml"},
    {"apply_bad",
     {"apply", "-f", "bad.toml"},
     {},
     exit_code::refused,
     "bad.toml:2:8: route[0].name"},
};

const std::vector<run_row> remote_rows = {
    {"unreachable", {"status"}, {refused}, exit_code::not_reachable, "127.0.0.1:7402"},
    {"silent", {"status"}, {lost}, exit_code::not_reachable, "broken off"},
    {"get_absent",
     {"get", "route", "a", "b"},
     {answer(404, R"({"detail":"no such resource"})")},
     exit_code::refused,
     "no such resource"},
    {"token",
     {"dump"},
     {answer(401, R"({"detail":"needs the token"})")},
     exit_code::refused,
     "needs the token"},
    {"get",
     {"get", "routes"},
     {answer(200, R"({"route":[{"service":"a","name":"b"}]})")},
     exit_code::done,
     "a        b"},
    {"status",
     {"status"},
     {answer(200, R"({"version":3,"moves":[{"move":"m"}]})")},
     exit_code::done,
     "version  3\n\n[moves]\nmove\nm\n"},
    {"json",
     {"usage", "--output", "json"},
     {answer(200, R"({"owners":[]})")},
     exit_code::done,
     "{\n  \"owners\": []\n}\n"},
    {"apply",
     {"apply", "-f", "move.toml"},
     {answer(200, accepted)},
     exit_code::done,
     "accepted operation=made version=8"},
    {"apply_shown", {"apply", "-f", "shown"}, {answer(200, accepted)}, exit_code::done, "accepted"},
    {"apply_findings",
     {"apply", "-f", "move.toml"},
     {answer(422, problem)},
     exit_code::refused,
     "a.b: is wrong; mend"},
    {"apply_not_run",
     {"apply", "-f", "move.toml"},
     {answer(503, R"({"detail":"store down","outcome":"not-run","retry_after_ms":2500})")},
     exit_code::refused,
     "retry after: 2500 ms"},
    {"apply_unknown",
     {"apply", "-f", "move.toml"},
     {answer(504, R"({"outcome":"unknown"})")},
     exit_code::unknown,
     "cyclamenhatch operation made"},
    {"apply_unreachable",
     {"apply", "-f", "move.toml"},
     {refused},
     exit_code::not_reachable,
     "not reachable"},
    {"apply_lost_but_accepted",
     {"apply", "-f", "move.toml"},
     {lost, answer(200, accepted)},
     exit_code::done,
     "version=8"},
    {"apply_lost_and_unknown",
     {"apply", "-f", "move.toml"},
     {lost, answer(200, R"({"outcome":"unknown"})")},
     exit_code::unknown,
     "outcome unknown"},
    {"apply_lost_twice",
     {"apply", "-f", "move.toml"},
     {lost, lost},
     exit_code::unknown,
     "outcome unknown"},
    {"wait_ends_early",
     {"apply", "-f", "move.toml", "--wait"},
     {answer(200, accepted), answer(200, "")},
     exit_code::unknown,
     "not yet known"},
    {"delete_conflict",
     {"delete", "service", "a"},
     {answer(200, R"({"revision":4})"), answer(412, problem)},
     exit_code::refused,
     "not valid"},
    {"operation", {"operation", "x"}, {answer(200, accepted)}, exit_code::done, "accepted"},
    {"operation_unknown",
     {"operation", "x"},
     {answer(200, R"({"outcome":"unknown"})")},
     exit_code::unknown,
     "unknown"},
    {"move_status_absent",
     {"move", "status", "a", "b"},
     {answer(200, R"({"move":[]})")},
     exit_code::refused,
     "no such move"},
    {"move_cancel",
     {"move", "cancel", "a", "b"},
     {answer(200, accepted)},
     exit_code::done,
     "accepted"},
    {"move_cancel_late",
     {"move", "cancel", "a", "b"},
     {answer(409, R"({"detail":"the move has ended"})")},
     exit_code::refused,
     "has ended"},
};

INSTANTIATE_TEST_SUITE_P(usage, verb, testing::ValuesIn(usage_rows), row_name);
INSTANTIATE_TEST_SUITE_P(local, verb, testing::ValuesIn(local_rows), row_name);
INSTANTIATE_TEST_SUITE_P(remote, verb, testing::ValuesIn(remote_rows), row_name);

const words move_start{"move",   "start", "--service", "catalogue", "--name",    "to-v2",
                       "--from", "v1",    "--to",      "v2",        "--deadline"};

words start_until(const std::string& deadline, const words& more = {}) {
    auto arguments = move_start;
    arguments.push_back(deadline);
    arguments.insert(arguments.end(), more.begin(), more.end());
    return arguments;
}

TEST(move_start, refuses_an_unachievable_deadline_without_a_request) {
    fake_environment env;
    env.answers = {answer(200, accepted)};
    EXPECT_EQ(env.run(start_until("2027-01-15T08:00:01Z")), exit_code::refused);
    EXPECT_EQ(env.run(start_until("soon")), exit_code::refused);
    EXPECT_TRUE(env.calls.empty());
}

TEST(move_start, dry_run_shows_the_schedule) {
    fake_environment env;
    env.answers = {answer(200, R"({"outcome":"valid","dry_run":true})")};
    EXPECT_EQ(env.run(start_until("2027-01-15T10:00:00Z", {"--dry-run"})), exit_code::done)
        << env.err.str();
    ASSERT_EQ(env.calls.size(), 1U);
    EXPECT_EQ(env.calls[0].path, "/v1/apply?dry_run=1");
    EXPECT_NE(env.out.str().find("permille  latest_start\n10        2027-"), std::string::npos)
        << env.out.str();
}

TEST(change, omits_the_version_of_a_listing) {
    fake_environment env{.files = {{"a", shown_file}, {"b.json", shown_file}}};
    env.answers = {answer(200, accepted)};
    EXPECT_EQ(env.run({"apply", "-f", "a", "-f", "b.json"}), exit_code::done);
    const auto body = parse_json(env.calls.at(0).body, "");
    ASSERT_TRUE(std::holds_alternative<document>(body));
    EXPECT_EQ(find_member(std::get<document>(body), "version"), nullptr);
    const auto* moves = find_member(std::get<document>(body), "move");
    ASSERT_NE(moves, nullptr);
    EXPECT_EQ(std::get<document::array>(moves->value).size(), 2U);
    EXPECT_EQ(number_or(std::get<document::array>(moves->value)[0], "revision", 0), 7);
}

TEST(change, sends_token_operation_and_precondition) {
    fake_environment env;
    env.answers = {answer(200, R"({"revision":4})"), answer(200, accepted)};
    EXPECT_EQ(env.run({"delete", "route", "cat alogue", "b/r", "--token", "t", "--operation",
                       "mine", "--node", "http://10.0.0.1:7402"}),
              exit_code::done);
    ASSERT_EQ(env.calls.size(), 2U);
    const auto& sent = env.calls[1];
    EXPECT_EQ(sent.method + " " + sent.path, "DELETE /v1/routes/cat%20alogue/b%2Fr");
    EXPECT_EQ(sent.headers.at("if-match"), "\"4\"");
    EXPECT_EQ(sent.headers.at("cyclamenhatch-operation"), "mine");
    EXPECT_EQ(sent.headers.at("authorization"), "Bearer t");
}

TEST(apply, waits_for_its_version_to_be_in_force) {
    fake_environment env{.files = {{"move.toml", good_move}}};
    env.answers = {answer(200, accepted), answer(200, "")};
    env.lines = {R"({"event":"in_force","version":7})", R"({"event":"accepted","version":8})",
                 R"({"event":"in_force","version":8})", R"({"event":"in_force","version":9})"};
    EXPECT_EQ(env.run({"apply", "-f", "move.toml", "--wait"}), exit_code::done);
    EXPECT_EQ(env.calls.at(1).path, "/v1/watch?after=8");
    EXPECT_TRUE(env.out.str().ends_with("in_force version=8\n")) << env.out.str();
}

TEST(apply, sends_files_as_one_change) {
    fake_environment env{.files = {{"a.toml", good_move}, {"b.json", R"({"move":[]})"}}};
    env.answers = {answer(200, accepted)};
    EXPECT_EQ(env.run({"apply", "-f", "a.toml", "b.json"}), exit_code::done);
    ASSERT_EQ(env.calls.size(), 1U);
    EXPECT_EQ(env.calls[0].body,
              R"({"move":[{"name":"to-v2","service":"catalogue","from":"v1","to":"v2",)"
              R"("deadline":"2027-06-01T06:00:00Z"}]})");
}

TEST(watch, shows_each_event_on_one_line) {
    fake_environment env;
    env.answers = {answer(200, "")};
    env.lines = {R"({"event":"accepted","version":8,"operations":["a"]})"};
    EXPECT_EQ(env.run({"watch", "--after", "7"}), exit_code::done);
    EXPECT_EQ(env.out.str(), "accepted version=8 operations=[\"a\"]\n");
    EXPECT_EQ(env.calls.at(0).path, "/v1/watch?after=7");
}

TEST(help, has_an_example_for_each_verb) {
    for (const auto& verb : {words{"node"},
                             {"check"},
                             {"version"},
                             {"get"},
                             {"apply"},
                             {"delete"},
                             {"watch"},
                             {"status"},
                             {"dump"},
                             {"usage"},
                             {"operation"},
                             {"move"},
                             {"move", "start"},
                             {"move", "status"},
                             {"move", "cancel"}}) {
        fake_environment env;
        auto arguments = verb;
        arguments.emplace_back("--help");
        EXPECT_EQ(env.run(arguments), exit_code::done);
        EXPECT_NE(env.out.str().find("Example: cyclamenhatch"), std::string::npos);
    }
}

} // namespace
} // namespace cyclamenhatch::cli
