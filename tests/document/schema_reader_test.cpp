#include "document/schema_reader.h"
#include "document/table_codec.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace cyclamenhatch {
namespace {

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

document parse(const std::string& text) {
    return std::get<document>(parse_toml(text, "f"));
}

template <class Value> findings get_findings(const result<Value>& outcome) {
    const auto* problems = std::get_if<findings>(&outcome);
    return problems == nullptr ? findings{} : *problems;
}

std::string to_text(const findings& problems) {
    std::string text;
    for (const auto& item : problems) {
        text += to_string(item) + "\n";
    }
    return text;
}

const std::string good_settings = R"([identity]
node = "n1"
region = "lombardy"
data_centre = "bergamo"
[listen]
ip = "10.0.0.7"
[store]
url = "http://10.0.0.2:2379"
)";

TEST(settings, five_mistakes_give_five_findings_with_locations) {
    const auto text = read_file(std::string(TEST_DATA_DIR) + "/five_mistakes.toml");
    const auto problems =
        get_findings(read_settings(std::get<document>(parse_toml(text, "n.toml"))));
    EXPECT_EQ(to_text(problems),
              "n.toml:4:1: identity.data_center: unknown key; did you mean \"data_centre\"?\n"
              "n.toml:7:6: listen.ip: \"10.0.0.300\" is not an IP address; use an address such as "
              "10.0.0.7\n"
              "n.toml:8:13: listen.link_port: 74000 is out of range; use 0 to 65535\n"
              "n.toml:12:14: store.timeout_ms: is a text; use a whole number from 0 to "
              "4294967295\n"
              "n.toml:15:13: process.log_level: unknown value \"warn\"; did you mean "
              "\"warning\"?\n");
}

TEST(settings, get_defaults_and_all_tables) {
    const auto outcome = read_settings(parse(good_settings));
    ASSERT_TRUE(std::holds_alternative<msg::settings_msg>(outcome))
        << to_text(get_findings(outcome));
    const auto& settings = std::get<msg::settings_msg>(outcome);
    EXPECT_EQ(settings.listen->link_port, 7400);
    EXPECT_EQ(settings.call->max_body_bytes, 1073741824U);
    EXPECT_EQ(settings.process->log_level, msg::log_level::info);
}

struct fault_row {
    const char* name;
    std::string text;
    std::string path;
};

class settings_fault : public testing::TestWithParam<fault_row> {};

TEST_P(settings_fault, is_the_only_finding) {
    const auto problems = get_findings(read_settings(parse(GetParam().text)));
    ASSERT_EQ(problems.size(), 1U) << to_text(problems);
    EXPECT_EQ(problems[0].path, GetParam().path);
    EXPECT_GT(problems[0].location.line, 0);
    EXPECT_FALSE(problems[0].remedy.empty());
}

INSTANTIATE_TEST_SUITE_P(
    table, settings_fault,
    testing::Values(
        fault_row{"unknown_table", good_settings + "[lisen]\n", "lisen"},
        fault_row{"table_as_text", good_settings + "[membership]\n[call]\nqueue_limit = {}\n",
                  "call.queue_limit"},
        fault_row{"equal_ports",
                  "[listen]\nip = \"::1\"\nlink_port = 7402\n" +
                      good_settings.substr(0, good_settings.find("[listen]")) +
                      good_settings.substr(good_settings.find("[store]")),
                  "listen.admin_port"},
        fault_row{"zero_interval", good_settings + "[link]\nping_interval_ms = 0\n",
                  "link.ping_interval_ms"},
        fault_row{"negative", good_settings + "[link]\nping_interval_ms = -1\n",
                  "link.ping_interval_ms"},
        fault_row{"fraction", good_settings + "[call]\nmax_attempts = 1.5\n", "call.max_attempts"},
        fault_row{"percent", good_settings + "[call]\nretry_budget_percent = 101\n",
                  "call.retry_budget_percent"},
        fault_row{"no_silence", good_settings + "[link]\nsilence_timeout_ms = 1000\n",
                  "link.silence_timeout_ms"},
        fault_row{"no_time_to_test_a_link", good_settings + "[link]\ndead_timeout_ms = 3000\n",
                  "link.dead_timeout_ms"},
        fault_row{"contact_without_port", good_settings + "[cluster]\ncontacts = [\"10.0.0.1\"]\n",
                  "cluster.contacts[0]"},
        fault_row{"contact_name", good_settings + "[cluster]\ncontacts = [\"host:7400\"]\n",
                  "cluster.contacts[0]"},
        fault_row{"contact_type", good_settings + "[cluster]\ncontacts = [7400]\n",
                  "cluster.contacts[0]"},
        fault_row{"prefix", good_settings + "prefix = \"x\"\n", "store.prefix"}),
    [](const auto& test_case) { return std::string(test_case.param.name); });

const std::string good_resources = R"([[service]]
name = "catalogue"
owner = "shops"
version = "v1"
[[upstream_version]]
name = "v1"
service = "catalogue"
[[upstream_version]]
name = "v2"
service = "catalogue"
[[route]]
name = "browse"
service = "catalogue"
path_prefix = "/catalogue"
[[move]]
name = "to-v2"
service = "catalogue"
from = "v1"
to = "v2"
deadline = 2026-12-05T06:00:00Z
on_little_traffic = "done"
)";

findings check(const document& source) {
    auto outcome = read_resources(source);
    const auto* set = std::get_if<resource_set>(&outcome);
    return set == nullptr ? std::get<findings>(outcome) : check_resources(source, *set);
}

TEST(resources, are_read_with_all_fields) {
    const auto source = parse(good_resources);
    EXPECT_EQ(to_text(check(source)), "");
    const auto set = std::get<resource_set>(read_resources(source));
    EXPECT_EQ(set.moves.at(0).deadline, *parse_rfc3339("2026-12-05T06:00:00Z"));
    EXPECT_EQ(set.moves.at(0).on_little_traffic, little_traffic_policy::done);
    EXPECT_EQ(write_json(write_resource(set.routes.at(0))),
              R"({"name":"browse","service":"catalogue","host":"","path_prefix":"/catalogue",)"
              R"("idempotent":false,"timeout_ms":1000,"max_attempts":0,"latency_objective_ms":0,)"
              R"("priority":0,"split":[],"revision":0,"operation":"",)"
              R"("anonymous":false,"large_bodies":false})");
}

TEST(resources, take_whole_and_fractional_rates) {
    for (const auto* rate : {"8.9", "9"}) {
        const auto source =
            parse(std::string("[[upstream_version]]\nname = \"v1\"\n") +
                  "service = \"catalogue\"\n[[service]]\nname = \"catalogue\"\n" +
                  "owner = \"shops\"\nversion = \"v1\"\nwarm_up_calls_per_s = " + rate + "\n");
        EXPECT_EQ(to_text(check(source)), "");
        const auto set = std::get<resource_set>(read_resources(source));
        EXPECT_EQ(set.services.at(0).warm_up_calls_per_s, std::stod(rate));
    }
}

TEST(resources, refuse_rates_that_are_no_numbers) {
    for (const auto* rate : {"\"fast\"", "nan", "inf", "true"}) {
        const auto source =
            parse(std::string("[[upstream_version]]\nname = \"v1\"\n") +
                  "service = \"catalogue\"\n[[service]]\nname = \"catalogue\"\n" +
                  "owner = \"shops\"\nversion = \"v1\"\nwarm_up_calls_per_s = " + rate + "\n");
        EXPECT_NE(to_text(check(source)), "") << rate;
    }
}

struct resource_row {
    const char* name;
    std::string added_text;
    std::string path;
    int line;
};

class resource_fault : public testing::TestWithParam<resource_row> {};

TEST_P(resource_fault, is_the_only_finding) {
    const auto problems = check(parse(good_resources + GetParam().added_text));
    ASSERT_EQ(problems.size(), 1U) << to_text(problems);
    EXPECT_EQ(problems[0].path, GetParam().path);
    EXPECT_EQ(problems[0].location.line, GetParam().line);
}

// The good resources end on line 21.
INSTANTIATE_TEST_SUITE_P(
    table, resource_fault,
    testing::Values(
        resource_row{"system_field", "attempt = 2\n", "move[0].attempt", 22},
        resource_row{"system_table", "ending = { reason = \"x\" }\n", "move[0].ending", 22},
        resource_row{"revision_text", "revision = \"7\"\n", "move[0].revision", 22},
        resource_row{"revision_below_0", "revision = -1\n", "move[0].revision", 22},
        resource_row{"no_number_of_a_listing", "[version]\n", "version", 22},
        resource_row{"bad_time", "start = \"noon\"\n", "move[0].start", 22},
        resource_row{"unknown_kind", "[[rout]]\nname = \"x\"\n", "rout", 22},
        resource_row{"no_prefix", "[[route]]\nname = \"x\"\nservice = \"catalogue\"\n",
                     "route[1].path_prefix", 22},
        resource_row{"no_such_service",
                     "[[route]]\nname = \"x\"\nservice = \"c\"\npath_prefix = \"/x\"\n",
                     "route[1].service", 24},
        resource_row{"relative_prefix",
                     "[[route]]\nname = \"x\"\nservice = \"catalogue\"\npath_prefix = \"x\"\n",
                     "route[1].path_prefix", 25},
        resource_row{"same_match",
                     "[[route]]\nname = \"x\"\nservice = \"catalogue\"\n"
                     "path_prefix = \"/catalogue\"\n",
                     "route[1].path_prefix", 25},
        resource_row{"twin_service",
                     "[[service]]\nname = \"catalogue\"\nowner = \"o\"\nversion = \"v1\"\n",
                     "service[1].name", 23},
        resource_row{"dangling_move",
                     "[[service]]\nname = \"a.b\"\nowner = \"o\"\nversion = \"v1\"\n",
                     "service[1].version", 25}),
    [](const auto& test_case) { return std::string(test_case.param.name); });

TEST(resources, are_read_as_the_api_returns_them) {
    auto set = std::get<resource_set>(read_resources(parse(good_resources)));
    const provenance last_write{config_version{7}, operation_id{"op-7"}};
    set.services[0].last_write = set.routes[0].last_write = set.versions[0].last_write = last_write;
    set.moves[0].last_write = last_write;
    set.moves[0].attempt = 2;
    set.moves[0].ending = move_ending{.reason = "errors"};
    const document shown(
        document::table{{"version", std::int64_t{9}},
                        {"service", document::array{write_resource(set.services[0])}},
                        {"route", document::array{write_resource(set.routes[0])}},
                        {"upstream_version", document::array{write_resource(set.versions[0])}},
                        {"move", document::array{write_resource(set.moves[0])}}});
    const auto outcome = read_resources(std::get<document>(parse_json(write_json(shown), "")));
    ASSERT_TRUE(std::holds_alternative<resource_set>(outcome))
        << to_text(std::get<findings>(outcome));
    const provenance revision_only{config_version{7}, {}};
    set.services[0].last_write = set.routes[0].last_write = set.versions[0].last_write =
        revision_only;
    set.moves[0].last_write = revision_only;
    const auto& reread_set = std::get<resource_set>(outcome);
    EXPECT_EQ(reread_set.services.at(0), set.services[0]);
    EXPECT_EQ(reread_set.routes.at(0), set.routes[0]);
    EXPECT_EQ(reread_set.versions.at(0), set.versions[0]);
    EXPECT_EQ(reread_set.moves.at(0), set.moves[0]);
    ASSERT_TRUE(reread_set.system_field_findings.contains(0));
    const auto& problems = reread_set.system_field_findings.at(0);
    ASSERT_EQ(problems.size(), 2U) << to_text(problems);
    EXPECT_EQ(problems[0].path, "move[0].attempt");
    EXPECT_EQ(problems[1].path, "move[0].ending");
    const auto merged = merge_resources({shown, shown});
    EXPECT_EQ(find_member(merged, "version"), nullptr);
}

TEST(resources, of_several_files_are_checked_together) {
    const auto split_position = good_resources.find("[[route]]");
    const auto first =
        std::get<document>(parse_toml(good_resources.substr(0, split_position), "a"));
    const auto second = std::get<document>(
        parse_toml(good_resources.substr(split_position) + "min_calls = 0\n", "b"));
    const auto problems = check(merge_resources({first, second}));
    ASSERT_EQ(problems.size(), 1U) << to_text(problems);
    EXPECT_EQ(problems[0].location, (source_location{"b", 12, 13}));
}

const std::string good_workspace = R"([[workspace]]
name = "pulo"
key_digest = ["ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"]
priority = 1
calls_per_s = 20
)";

TEST(workspaces, are_read_with_and_without_services) {
    for (const auto& text : {good_workspace, good_resources + good_workspace}) {
        EXPECT_TRUE(check(parse(text)).empty()) << to_text(check(parse(text)));
    }
    const auto set = std::get<resource_set>(read_resources(parse(good_workspace)));
    ASSERT_EQ(set.workspaces.size(), 1U);
    EXPECT_EQ(set.workspaces[0].priority, 1U);
    EXPECT_EQ(set.workspaces[0].calls_per_s, 20);
    EXPECT_EQ(set.workspaces[0].key_digests.size(), 1U);
    const document shown(
        document::table{{"workspace", document::array{write_resource(set.workspaces[0])}}});
    EXPECT_EQ(std::get<resource_set>(read_resources(shown)).workspaces, set.workspaces);
}

TEST(workspaces, with_one_key_are_a_finding_at_its_place) {
    auto second = good_workspace;
    second.replace(second.find("pulo"), 4, "other");
    const auto problems = check(parse(good_workspace + second));
    ASSERT_EQ(problems.size(), 1U) << to_text(problems);
    EXPECT_EQ(problems[0].path, "workspace[1].key_digest");
    EXPECT_EQ(problems[0].location.line, 8);
    EXPECT_EQ(to_text(problems).find("ffff"), std::string::npos);
}

/// Lines "table.key default" of all settings.
std::string list_defaults() {
    auto settings = std::get<msg::settings_msg>(read_settings(parse(good_settings)));
    *settings.identity = {};
    settings.listen->ip.clear();
    settings.store->url.clear();
    std::string lines;
    const auto root = write_settings(settings);
    for (const auto& table : std::get<document::table>(root.value)) {
        for (const auto& field : std::get<document::table>(table.value.value)) {
            lines +=
                "| `" + table.key + "." + field.key + "` | `" + write_json(field.value) + "` |";
            lines += "\n";
        }
    }
    return lines;
}

TEST(settings_page, lists_every_key_with_its_default) {
    const auto page = read_file(std::string(SOURCE_ROOT) + "/docs/settings.md");
    std::istringstream lines(list_defaults());
    for (std::string line; std::getline(lines, line);) {
        EXPECT_NE(page.find(line), std::string::npos) << "not in docs/settings.md: " << line;
    }
}

} // namespace
} // namespace cyclamenhatch
