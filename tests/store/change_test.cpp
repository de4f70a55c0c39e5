#include "store/change.h"

#include <functional>
#include <gtest/gtest.h>

namespace cyclamenhatch::store {
namespace {

using section_map = std::map<service_id, section_ptr>;

const service_id layouts{"layouts"};

move make_move(const std::string& name) {
    move created;
    created.name = move_id{name};
    created.service = layouts;
    created.old_version = version_id{"v1"};
    created.new_version = version_id{"v2"};
    created.deadline = from_unix_ms(1'900'000'000'000);
    return created;
}

route make_route(const std::string& name, const service_id& service, const std::string& prefix) {
    return {.name = route_id{name}, .service = service, .host = "", .path_prefix = prefix};
}

/// Two services; layouts has a route, two versions, an open move and one that has ended.
section_map make_sections() {
    section first;
    first.service = {.name = layouts, .owner = owner_id{"stores"}, .version = version_id{"v1"}};
    first.routes = {make_route("all", layouts, "/layouts")};
    first.versions = {{.name = version_id{"v1"}, .service = layouts},
                      {.name = version_id{"v2"}, .service = layouts}};
    first.moves = {make_move("ended"), make_move("open")};
    first.moves[0].ending = move_ending{.outcome = move_outcome::taken_back};
    section second;
    second.service = {
        .name = service_id{"drawings"}, .owner = owner_id{"stores"}, .version = version_id{"v1"}};
    second.versions = {{.name = version_id{"v1"}, .service = service_id{"drawings"}}};
    return {{layouts, make_stored_section(first)},
            {service_id{"drawings"}, make_stored_section(second)}};
}

const config_version next{8};
const operation_id operation{"op"};

std::variant<section_map, change_refused> apply(const change& requested) {
    return apply_change(make_sections(), requested, next, operation);
}

section apply_to_layouts(const change& requested) {
    const auto result = apply(requested);
    const auto* sections = std::get_if<section_map>(&result);
    if (sections == nullptr) {
        ADD_FAILURE() << to_string(std::get<change_refused>(result).problems.front());
        return {};
    }
    return sections->at(layouts)->content;
}

resource_key layouts_key(resource_kind kind, const std::string& name) {
    return {kind, layouts, name};
}

struct refusal_row {
    const char* name;
    std::function<change()> requested;
    refusal_kind kind;
    const char* path;
    /// Total number of findings.
    std::size_t count;
};

class change_refusal : public testing::TestWithParam<refusal_row> {};

TEST_P(change_refusal, names_what_is_wrong) {
    const auto applied = apply(GetParam().requested());
    const auto* refused = std::get_if<change_refused>(&applied);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->kind, GetParam().kind);
    ASSERT_EQ(refused->problems.size(), GetParam().count);
    EXPECT_EQ(refused->problems[0].path, GetParam().path);
}

template <class Member, class... Values>
std::function<change()> make_write(Member member, Values... values) {
    return [=] {
        resource_write requested;
        requested.*member = {values...};
        return change{requested};
    };
}

std::function<change()> make_close(const std::string& name, std::uint32_t attempt) {
    return [=] { return change{move_close{layouts, move_id{name}, attempt, {}}}; };
}

move make_changed_move(const std::function<void(move&)>& alter) {
    move created = make_move("open");
    alter(created);
    return created;
}

const auto conflict = refusal_kind::conflict;
const auto invalid = refusal_kind::invalid;
const auto services = &resource_write::services;
const auto routes = &resource_write::routes;
const auto versions = &resource_write::versions;
const auto moves = &resource_write::moves;
const auto deletes = &resource_write::deletes;
const auto preconditions = &resource_write::preconditions;

const std::vector<refusal_row> refusals = {
    {"stale_revision",
     make_write(preconditions,
                precondition{layouts_key(resource_kind::route, "all"), config_version{3}}),
     conflict, "route \"all\" of service \"layouts\"", 1},
    {"exists_already",
     make_write(preconditions, precondition{layouts_key(resource_kind::service, "layouts"), {}}),
     conflict, "service \"layouts\"", 1},
    {"must_exist",
     make_write(preconditions,
                precondition{layouts_key(resource_kind::move, "absent"), config_version{0}}),
     conflict, "move \"absent\" of service \"layouts\"", 1},
    {"route_without_service", make_write(routes, make_route("r", service_id{"absent"}, "/r")),
     invalid, "route[0].service", 1},
    {"all_findings_together",
     make_write(routes, make_route("r", service_id{"absent"}, "/r"), make_route("s", layouts, "s"),
                make_route("t", service_id{"drawings"}, "/layouts")),
     invalid, "route[0].service", 3},
    {"named_twice",
     make_write(versions, upstream_version{version_id{"v3"}, layouts, {}},
                upstream_version{version_id{"v3"}, layouts, {}}),
     invalid, "upstream_version[1].name", 1},
    {"service_on_absent_version",
     make_write(services, service{service_id{"new"}, owner_id{"stores"}, version_id{"v9"}, 1, {}}),
     invalid, "new.service.version", 1},
    {"service_turned_without_a_move",
     make_write(services, service{layouts, owner_id{"stores"}, version_id{"v2"}, 1, {}}), conflict,
     "service[0].version", 1},
    {"service_still_referred_to",
     make_write(deletes, layouts_key(resource_kind::service, "layouts")), invalid,
     "service \"layouts\"", 5},
    {"version_in_use", make_write(deletes, layouts_key(resource_kind::upstream_version, "v2")),
     invalid, "layouts.move[1].to", 1},
    {"open_move_deleted", make_write(deletes, layouts_key(resource_kind::move, "open")), invalid,
     "delete[0]", 1},
    {"absent_deleted", make_write(deletes, layouts_key(resource_kind::route, "absent")), conflict,
     "delete[0]", 1},
    {"open_move_redirected", make_write(moves, make_changed_move([](move& changed) {
                                            changed.new_version = version_id{"v1"};
                                        })),
     invalid, "move[0].to", 1},
    {"second_open_move", make_write(moves, make_changed_move([](move& changed) {
                                        changed.name = move_id{"ended"};
                                        changed.deadline += seconds{60};
                                    })),
     invalid, "layouts.move[1].service", 1},
    {"cancel_of_an_ended_move", make_write(moves, make_changed_move([](move& changed) {
                                               changed.name = move_id{"ended"};
                                               changed.cancel = true;
                                           })),
     conflict, "move[0].cancel", 1},
    {"close_of_an_ended_move", make_close("ended", 1), conflict,
     "move \"ended\" of service \"layouts\"", 1},
    {"close_of_another_attempt", make_close("open", 2), conflict,
     "move \"open\" of service \"layouts\"", 1},
    {"close_of_an_absent_move", make_close("absent", 1), conflict,
     "move \"absent\" of service \"layouts\"", 1},
};

INSTANTIATE_TEST_SUITE_P(table, change_refusal, testing::ValuesIn(refusals),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(change, reports_conflicts_and_what_is_invalid_together) {
    resource_write requested;
    requested.routes = {make_route("r", service_id{"absent"}, "/r")};
    requested.deletes = {layouts_key(resource_kind::route, "absent")};
    const auto applied = apply(requested);
    const auto& refused = std::get<change_refused>(applied);
    EXPECT_EQ(refused.kind, conflict);
    EXPECT_EQ(refused.problems.size(), 2U);
}

TEST(change, stamps_only_what_it_touches) {
    resource_write requested;
    requested.routes = {make_route("all", layouts, "/layouts"), make_route("new", layouts, "/new")};
    const auto changed_section = apply_to_layouts(requested);
    EXPECT_EQ(changed_section.routes[0].last_write, provenance{});
    EXPECT_EQ(changed_section.routes[1].last_write, (provenance{next, operation}));
    EXPECT_EQ(changed_section.service.last_write, provenance{});
}

TEST(change, keeps_the_pointers_of_sections_that_do_not_change) {
    const auto before = make_sections();
    resource_write requested;
    requested.versions = {{version_id{"v3"}, layouts, {}}};
    const auto applied = apply_change(before, requested, next, operation);
    const auto& sections = std::get<section_map>(applied);
    EXPECT_EQ(sections.at(service_id{"drawings"}), before.at(service_id{"drawings"}));
    EXPECT_NE(sections.at(layouts), before.at(layouts));
}

TEST(change, deletes_a_service_with_everything) {
    resource_write requested;
    requested.deletes = {{resource_kind::service, service_id{"drawings"}, "drawings"},
                         {resource_kind::upstream_version, service_id{"drawings"}, "v1"}};
    const auto applied = apply(requested);
    EXPECT_EQ(std::get<section_map>(applied).size(), 1U);
}

TEST(change, cancels_an_open_move_for_good) {
    auto sections = make_sections();
    for (const bool is_cancelled : {true, false}) {
        resource_write requested;
        requested.moves = {
            make_changed_move([&](move& changed) { changed.cancel = is_cancelled; })};
        sections = std::get<section_map>(apply_change(sections, requested, next, operation));
        const auto& open = sections.at(layouts)->content.moves[1];
        EXPECT_TRUE(open.cancel);
        EXPECT_EQ(open.attempt, 1U);
    }
}

TEST(change, closes_a_move_once_and_starts_it_again_as_another_attempt) {
    auto sections = make_sections();
    const move_close taken_back{
        layouts, move_id{"open"}, 1, {.outcome = move_outcome::taken_back, .reason = "errors"}};
    sections = std::get<section_map>(apply_change(sections, taken_back, next, operation));
    EXPECT_EQ(sections.at(layouts)->content.moves[1].ending->reason, "errors");
    EXPECT_EQ(sections.at(layouts)->content.service.version.value, "v1");
    EXPECT_TRUE(std::holds_alternative<change_refused>(
        apply_change(sections, taken_back, next, operation)));

    resource_write again;
    again.moves = {make_move("open")};
    const auto same = std::get<section_map>(apply_change(sections, again, next, operation));
    EXPECT_EQ(same.at(layouts), sections.at(layouts))
        << "repeating the same move must not start a new attempt";
    again.moves[0].deadline += seconds{60};
    sections = std::get<section_map>(apply_change(sections, again, next, operation));
    EXPECT_EQ(sections.at(layouts)->content.moves[1].attempt, 2U);
    EXPECT_FALSE(sections.at(layouts)->content.moves[1].ending);

    const move_close done{layouts, move_id{"open"}, 2, {.outcome = move_outcome::done}};
    sections = std::get<section_map>(apply_change(sections, done, next, operation));
    EXPECT_EQ(sections.at(layouts)->content.service.version.value, "v2");
    EXPECT_EQ(sections.at(layouts)->content.service.last_write.revision, next);
}

} // namespace
} // namespace cyclamenhatch::store
