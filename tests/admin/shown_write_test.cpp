#include "admin/fake_backend.h"
#include "store/change.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::admin {
namespace {

/// An API whose writes follow the store's rules; an accepted write is in force at once.
struct shown_write : testing::Test {
    fake_node node{.config = make_config(7, make_catalogue())};
    std::uint64_t last_version = 7;
    api_context context{.node = make_backend(node), .preview = store::apply_change};

    void SetUp() override {
        context.node.write = [this](const store::write_request& request, const auto& reply) {
            node.written.push_back(request);
            const config_version next{last_version + 1};
            const auto after = store::apply_change(node.config->sections, request.requested_change,
                                                   next, request.operation);
            if (const auto* refused = std::get_if<store::change_refused>(&after)) {
                reply({request.operation, *refused});
                return;
            }
            last_version = next.value;
            node.config =
                make_config(last_version, std::get<0>(after).at(service_id{"catalogue"})->content);
            reply({request.operation, store::write_accepted{next}});
        };
    }

    api_response ask(const std::string& method, const std::vector<std::string>& path,
                     const std::string& body = "") {
        api_response answer;
        handle(context, {.method = method, .path = path, .body = body}, from_unix_ms(1000),
               operation_id{"mine"}, [&](api_response response) { answer = std::move(response); });
        return answer;
    }

    std::string show() { return ask("GET", {"v1", "resources"}).body; }
    api_response apply(const std::string& body) { return ask("POST", {"v1", "apply"}, body); }
    [[nodiscard]] section current_section() const {
        return node.config->sections.at(service_id{"catalogue"})->content;
    }
};

/// Replaces the first occurrence of `part`, which must exist.
std::string edit(std::string text, const std::string& part, const std::string& replacement) {
    const auto position = text.find(part);
    EXPECT_NE(position, std::string::npos) << part << " is not in " << text;
    return position == std::string::npos ? text : text.replace(position, part.size(), replacement);
}

bool contains(const api_response& answer, const std::string& part) {
    return answer.body.find(part) != std::string::npos;
}

TEST_F(shown_write, of_all_resources_changes_nothing) {
    const auto before = current_section();
    const auto answer = apply(show());
    ASSERT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(current_section(), before);
    EXPECT_EQ(
        std::get<store::resource_write>(node.written.at(0).requested_change).preconditions.size(),
        6U);
}

struct kind_row {
    const char* name;
    std::vector<std::string> path;
    /// Text to replace, and its replacement.
    std::string part;
    std::string replacement;
    std::string expected_text;
};

struct shown_kind : shown_write, testing::WithParamInterface<kind_row> {};

TEST_P(shown_kind, is_written_back_once) {
    const auto& [name, path, part, replacement, expected] = GetParam();
    const auto shown = ask("GET", path).body;
    ASSERT_EQ(ask("PUT", path, shown).status, 200);
    EXPECT_EQ(ask("GET", path).body, shown);
    const auto edited = edit(shown, part, replacement);
    ASSERT_EQ(ask("PUT", path, edited).status, 200);
    EXPECT_NE(ask("GET", path).body, shown);
    const auto again = ask("PUT", path, edited);
    EXPECT_EQ(again.status, 412);
    EXPECT_TRUE(contains(again, expected)) << again.body;
}

INSTANTIATE_TEST_SUITE_P(
    table, shown_kind,
    testing::Values(kind_row{"service",
                             {"v1", "services", "catalogue"},
                             "\"shops\"",
                             "\"books\"",
                             "it is at revision 9 where revision 5 is required"},
                    kind_row{"route",
                             {"v1", "routes", "catalogue", "browse"},
                             "\"/catalogue\"",
                             "\"/x\"",
                             "it is at revision 9 where revision 7 is required"}),
    [](const auto& param_info) { return std::string(param_info.param.name); });

TEST_F(shown_write, of_an_upstream_version_holds_for_its_revision) {
    const std::vector<std::string> path{"v1", "upstream-versions", "catalogue", "v1"};
    const auto shown = ask("GET", path).body;
    EXPECT_EQ(ask("PUT", path, shown).status, 200);
    const auto late = ask("PUT", path, edit(shown, "\"revision\":5", "\"revision\":4"));
    EXPECT_EQ(late.status, 412);
    EXPECT_TRUE(contains(late, "it is at revision 5 where revision 4 is required")) << late.body;
}

TEST_F(shown_write, of_an_older_revision_is_a_conflict) {
    const auto shown = show();
    ASSERT_EQ(apply(edit(shown, "\"shops\"", "\"books\"")).status, 200);
    const auto before = current_section();
    const auto late = apply(edit(shown, "\"shops\"", "\"games\""));
    EXPECT_EQ(late.status, 409);
    EXPECT_TRUE(contains(late, "it is at revision 8 where revision 5 is required")) << late.body;
    EXPECT_EQ(current_section(), before);
}

struct move_row {
    const char* name;
    std::string part;
    std::string replacement;
    int status;
    std::string expected_text;
};

struct edited_move : shown_write, testing::WithParamInterface<move_row> {};

TEST_P(edited_move, is_refused_and_named) {
    const auto before = current_section();
    auto shown = show();
    const auto moves = shown.find("\"move\":");
    const auto body =
        shown.substr(0, moves) + edit(shown.substr(moves), GetParam().part, GetParam().replacement);
    const auto answer = apply(body);
    EXPECT_EQ(answer.status, GetParam().status);
    EXPECT_TRUE(contains(answer, GetParam().expected_text)) << answer.body;
    EXPECT_EQ(current_section(), before);
    EXPECT_TRUE(node.written.empty());
}

// The first move has ended; the second is open.
INSTANTIATE_TEST_SUITE_P(
    table, edited_move,
    testing::Values(
        move_row{"ended", "\"min_calls\":200", "\"min_calls\":9", 422, "move[0].ending"},
        move_row{"attempt", "\"attempt\":1", "\"attempt\":2", 422, "move[0].attempt"},
        move_row{"ending", "\"errors\"", "\"none\"", 422, "move[0].ending"},
        move_row{"older", "\"revision\":5", "\"revision\":4", 409,
                 "it is at revision 5 where revision 4 is required"},
        move_row{"unrevised", "\"revision\":5", "\"revision\":0", 422, "move[0].attempt"},
        move_row{"absent", "\"old\"", "\"new\"", 409, "it is absent where revision 5 is required"}),
    [](const auto& param_info) { return std::string(param_info.param.name); });

TEST_F(shown_write, restarts_an_ended_move_only_when_it_is_changed) {
    const std::string same = R"({"move":[{"name":"old","service":"catalogue","from":"v1",)"
                             R"("to":"v2","deadline":"2027-01-15T08:00:00Z"}]})";
    const std::string changed = R"({"move":[{"name":"old","service":"catalogue","from":"v1",)"
                                R"("to":"v2","deadline":"2027-01-15T09:00:00Z"}]})";
    auto part = current_section();
    part.moves.pop_back();
    node.config = make_config(7, part);
    ASSERT_EQ(apply(show()).status, 200);
    EXPECT_TRUE(current_section().moves.at(0).ending);
    ASSERT_EQ(apply(same).status, 200);
    EXPECT_TRUE(current_section().moves.at(0).ending) << "the same order as before starts nothing";
    ASSERT_EQ(apply(changed).status, 200);
    EXPECT_FALSE(current_section().moves.at(0).ending);
    EXPECT_EQ(current_section().moves.at(0).attempt, 2U);
    const auto before = current_section();
    EXPECT_EQ(apply(show()).status, 200) << "the open move of a second attempt";
    EXPECT_EQ(current_section(), before);
}

} // namespace
} // namespace cyclamenhatch::admin
