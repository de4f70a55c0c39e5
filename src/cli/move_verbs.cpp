#include "cli/move_verbs.h"
#include "cli/node_session.h"
#include "cli/table_printer.h"
#include "document/schema_reader.h"
#include "move/plan.h"

#include <algorithm>

namespace cyclamenhatch::cli {
namespace {

/// The resource document that a resource file with this move would hold.
document make_resource(const move_start_command& options) {
    document::table members{{"name", options.name},
                            {"service", options.service},
                            {"from", options.from_version},
                            {"to", options.to_version},
                            {"deadline", options.deadline},
                            {"first_share_permille", options.first_share_permille},
                            {"min_calls", options.min_calls},
                            {"bake_s", options.bake_s},
                            {"on_little_traffic", options.on_little_traffic}};
    if (!options.start.empty()) {
        members.push_back({"start", options.start});
    }
    document::array items;
    items.emplace_back(std::move(members));
    return {document::table{{"move", std::move(items)}}};
}

document describe_plan(const move& planned, const moves::plan& plan) {
    document::array stages;
    for (const auto& stage : plan.stages) {
        stages.emplace_back(document::table{{"permille", std::int64_t{stage.permille}},
                                            {"latest_start", format_rfc3339(stage.latest_start)}});
    }
    return {document::table{{"service", planned.service.value},
                            {"move", planned.name.value},
                            {"deadline", format_rfc3339(planned.deadline)},
                            {"bake_start", format_rfc3339(plan.bake_start)},
                            {"stages", std::move(stages)}}};
}

void show(const environment& env, const connection_options& connection, const document& page) {
    if (connection.output == output_format::json) {
        env.out << write_json(page, true) << "\n";
    } else {
        print_page(env.out, page);
    }
}

exit_code show_change(const environment& env, const connection_options& connection,
                      const session_result& answer) {
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    print_line(env.out, std::get<document>(answer), "outcome");
    static_cast<void>(connection);
    return exit_code::done;
}

bool is_selected(const document& status, const move_status_command& options) {
    return (options.service.empty() || text_or(status, "service", "") == options.service) &&
           (options.name.empty() || text_or(status, "move", "") == options.name);
}

} // namespace

exit_code run(const environment& env, const move_start_command& options) {
    const auto resource = make_resource(options);
    const auto read = read_resources(resource);
    if (const auto* problems = std::get_if<findings>(&read)) {
        return report_findings(env, *problems);
    }
    const auto& planned = std::get<resource_set>(read).moves.at(0);
    const auto plan_result = moves::make_plan(planned, env.now());
    if (const auto* problems = std::get_if<findings>(&plan_result)) {
        return report_findings(env, *problems);
    }
    const auto& plan = std::get<moves::plan>(plan_result);
    const auto answer =
        send_change(env, options.connection,
                    {.method = "POST",
                     .path = options.is_dry_run ? "/v1/apply?dry_run=1" : "/v1/apply",
                     .body = write_json(resource),
                     .operation = choose_operation(env, options.operation)});
    if (options.is_dry_run && !std::holds_alternative<exit_code>(answer)) {
        show(env, options.connection, describe_plan(planned, plan));
    }
    return show_change(env, options.connection, answer);
}

exit_code run(const environment& env, const move_status_command& options) {
    const auto answer = query_node(env, options.connection, "/v1/move-status");
    if (const auto* code = std::get_if<exit_code>(&answer)) {
        return *code;
    }
    document::array selected;
    const auto* all = find_member(std::get<document>(answer), "move");
    const auto* items = all == nullptr ? nullptr : std::get_if<document::array>(&all->value);
    if (items != nullptr) {
        std::copy_if(items->begin(), items->end(), std::back_inserter(selected),
                     [&](const document& status) { return is_selected(status, options); });
    }
    if (selected.empty() && !options.service.empty()) {
        env.err << "no such move\n";
        return exit_code::refused;
    }
    if (options.connection.output == output_format::json) {
        env.out << write_json(document(std::move(selected)), true) << "\n";
        return exit_code::done;
    }
    print_rows(env.out,
               {"service", "move", "attempt", "phase", "permille", "calls_on_new", "errors_on_new",
                "deadline", "veto_reason", "ending.outcome", "ending.reason"},
               selected);
    return exit_code::done;
}

exit_code run(const environment& env, const move_cancel_command& options) {
    const auto path = "/v1/moves/" + encode_segment(options.service) + "/" +
                      encode_segment(options.name) + "/cancel";
    return show_change(env, options.connection,
                       send_change(env, options.connection,
                                   {.method = "POST",
                                    .path = path,
                                    .operation = choose_operation(env, options.operation)}));
}

} // namespace cyclamenhatch::cli
