#include "cli/move_verbs.h"
#include "cli/node_session.h"
#include "cli/table_printer.h"
#include "document/schema_reader.h"
#include "move/plan.h"

#include <algorithm>

namespace cyclamenhatch::cli {
namespace {

/// The move as an operator would write it in a file.
document make_resource(const move_start_command& from) {
    document::table members{{"name", from.name},
                            {"service", from.service},
                            {"from", from.from},
                            {"to", from.target},
                            {"deadline", from.deadline},
                            {"first_share_permille", from.first_share_permille},
                            {"min_calls", from.min_calls},
                            {"bake_s", from.bake_s},
                            {"on_little_traffic", from.on_little_traffic}};
    if (!from.start.empty()) {
        members.push_back({"start", from.start});
    }
    document::array items;
    items.emplace_back(std::move(members));
    return {document::table{{"move", std::move(items)}}};
}

document describe_plan(const move& planned, const moves::plan& from) {
    document::array stages;
    for (const auto& each : from.stages) {
        stages.emplace_back(document::table{{"permille", std::int64_t{each.permille}},
                                            {"latest_start", format_rfc3339(each.latest_start)}});
    }
    return {document::table{{"service", planned.service.value},
                            {"move", planned.name.value},
                            {"deadline", format_rfc3339(planned.deadline)},
                            {"bake_start", format_rfc3339(from.bake_start)},
                            {"stages", std::move(stages)}}};
}

void show(const environment& around, const connection& to, const document& page) {
    if (to.output == output_format::json) {
        around.out << write_json(page, true) << "\n";
    } else {
        print_page(around.out, page);
    }
}

exit_code show_change(const environment& around, const connection& to,
                      const session_result& answer) {
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    print_line(around.out, std::get<document>(answer), "outcome");
    static_cast<void>(to);
    return exit_code::done;
}

bool is_asked_for(const document& each, const move_status_command& asked) {
    return (asked.service.empty() || text_or(each, "service", "") == asked.service) &&
           (asked.name.empty() || text_or(each, "move", "") == asked.name);
}

} // namespace

exit_code run(const environment& around, const move_start_command& asked) {
    const auto resource = make_resource(asked);
    const auto read = read_resources(resource);
    if (const auto* found = std::get_if<findings>(&read)) {
        return refuse(around, *found);
    }
    const auto& planned = std::get<resource_set>(read).moves.at(0);
    const auto made = moves::make_plan(planned, around.now());
    if (const auto* found = std::get_if<findings>(&made)) {
        return refuse(around, *found);
    }
    const auto& plan = std::get<moves::plan>(made);
    const auto answer = change(around, asked.to,
                               {.method = "POST",
                                .path = asked.is_dry_run ? "/v1/apply?dry_run=1" : "/v1/apply",
                                .body = write_json(resource),
                                .operation = settle_operation(around, asked.operation)});
    if (asked.is_dry_run && !std::holds_alternative<exit_code>(answer)) {
        show(around, asked.to, describe_plan(planned, plan));
    }
    return show_change(around, asked.to, answer);
}

exit_code run(const environment& around, const move_status_command& asked) {
    const auto answer = ask(around, asked.to, "/v1/move-status");
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    document::array shown;
    const auto* all = find_member(std::get<document>(answer), "move");
    const auto* items = all == nullptr ? nullptr : std::get_if<document::array>(&all->value);
    if (items != nullptr) {
        std::copy_if(items->begin(), items->end(), std::back_inserter(shown),
                     [&](const document& each) { return is_asked_for(each, asked); });
    }
    if (shown.empty() && !asked.service.empty()) {
        around.err << "no such move\n";
        return exit_code::refused;
    }
    if (asked.to.output == output_format::json) {
        around.out << write_json(document(std::move(shown)), true) << "\n";
        return exit_code::done;
    }
    print_rows(around.out,
               {"service", "move", "attempt", "phase", "permille", "calls_on_new", "errors_on_new",
                "deadline", "veto_reason", "ending.outcome", "ending.reason"},
               shown);
    return exit_code::done;
}

exit_code run(const environment& around, const move_cancel_command& asked) {
    const auto path =
        "/v1/moves/" + encode_segment(asked.service) + "/" + encode_segment(asked.name) + "/cancel";
    return show_change(around, asked.to,
                       change(around, asked.to,
                              {.method = "POST",
                               .path = path,
                               .operation = settle_operation(around, asked.operation)}));
}

} // namespace cyclamenhatch::cli
