#include "call/drain_plan.h"
#include "document/document.h"
#include "document/schema_reader.h"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <map>
#include <regex>

/// The settings that the deployment platform renders from deploy/node.toml.template.
namespace cyclamenhatch::node {
namespace {

using deployment_values = std::map<std::string, std::string>;

std::string read_template() {
    std::ifstream in(SOURCE_ROOT "/deploy/node.toml.template");
    return {std::istreambuf_iterator<char>(in), {}};
}

/// Replaces each match by what `fill` returns for it.
template <class Fill>
std::string replace_all(const std::string& text, const std::regex& pattern, const Fill& fill) {
    std::string out;
    auto rest = text.cbegin();
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
        out.append(rest, (*it)[0].first);
        out += fill(*it);
        rest = (*it)[0].second;
    }
    return out.append(rest, text.cend());
}

/// Fills in sections that are rendered once when they have a value, and then fields.
std::string render(const std::string& text, const deployment_values& values) {
    const auto value_of = [&](const std::string& name) {
        const auto it = values.find(name);
        return it == values.end() ? std::string{} : it->second;
    };
    const std::regex section(R"(\{\{#([\w.]+)\}\}([^\n]*)\{\{/\1\}\})");
    const auto sections = replace_all(text, section, [&](const std::smatch& match) {
        const auto value = value_of(match[1]);
        return value.empty()
                   ? std::string{}
                   : std::regex_replace(match[2].str(), std::regex(R"(\{\{\.\}\})"), value);
    });
    const std::regex field(R"(\{\{([\w.]+)(\|json)?\}\})");
    return replace_all(sections, field, [&](const std::smatch& match) {
        const auto value = value_of(match[1]);
        return match[2].matched ? '"' + value + '"' : value;
    });
}

deployment_values make_deployment(int grace_s) {
    return {{"node", "sidecar-a-1"},
            {"region", "region-a"},
            {"zone", "zone-a"},
            {"service", "ledger"},
            {"appAddr", "127.0.0.1:8301"},
            {"ip", "127.0.0.1"},
            {"portRange.0", "7620"},
            {"portRange.1", "7635"},
            {"listen.outbound", "127.0.0.1:8304"},
            {"listen.control", "127.0.0.1:8306"},
            {"listen.ready", "127.0.0.1:8302"},
            {"limits.linkMbps", "1000"},
            {"provider.address", "127.0.0.1:8309"},
            {"bounds.budgetWindow", "10"},
            {"bounds.budgetSlack", "64"},
            {"bounds.exposeSlack", "50"},
            {"bounds.grace", std::to_string(grace_s)}};
}

class deployed_node : public testing::TestWithParam<int> {};

/// Guards against a node that answers in place of sound upstreams seconds before the platform's
/// grace time ends, since its template states one drain time for all deployments (LOST).
TEST_P(deployed_node, drains_for_the_grace_time_of_its_deployment) {
    const auto text = render(read_template(), make_deployment(GetParam()));
    const auto parsed = parse_toml(text, "node.toml");
    ASSERT_TRUE(std::holds_alternative<document>(parsed)) << text;
    const auto outcome = read_settings(std::get<document>(parsed));
    if (const auto* problems = std::get_if<findings>(&outcome)) {
        FAIL() << to_string(problems->front()) << '\n' << text;
    }
    const auto plan = call::plan_drain(*std::get<msg::settings_msg>(outcome).call);
    const milliseconds grace{1000 * GetParam()};
    EXPECT_GE(plan.final_answers * 6, grace * 5) << "answers before the last sixth";
    EXPECT_LT(plan.node_stops, grace);
    EXPECT_GT(plan.runs_end, grace * 3 / 4);
}

INSTANTIATE_TEST_SUITE_P(graces, deployed_node, testing::Values(3, 4, 6, 10, 30));

} // namespace
} // namespace cyclamenhatch::node
