#include "cli/command.h"
#include "document/suggestion.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <map>
#include <memory>

namespace cyclamenhatch::cli {
namespace {

/// The command that the last parsed subcommand stands for.
struct parse_target {
    std::variant<std::monostate, command> chosen;
};

const std::map<std::string, output_format> output_names{{"table", output_format::table},
                                                        {"json", output_format::json}};

/// One verb: its options write into the command, which is chosen when the verb is parsed.
template <class Command> struct verb {
    CLI::App* app = nullptr;
    std::shared_ptr<Command> made = std::make_shared<Command>();
};

template <class Command>
verb<Command> add_verb(CLI::App& parent, parse_target& target, const std::string& name,
                       const std::string& description, const std::string& example) {
    verb<Command> added;
    added.app = parent.add_subcommand(name, description);
    added.app->footer("Example: " + example);
    added.app->callback([&target, made = added.made] { target.chosen = command(*made); });
    return added;
}

void add_connection(CLI::App& app, connection& to) {
    app.add_option("--node", to.node, "Admin URL of any node, as http://IP:PORT")
        ->envname("CYCLAMENHATCH_NODE")
        ->capture_default_str();
    app.add_option("--token", to.token, "Operators' bearer token")->envname("CYCLAMENHATCH_TOKEN");
    app.add_option("--output", to.output, "table or json")
        ->transform(CLI::CheckedTransformer(output_names));
}

void add_operation(CLI::App& app, std::string& operation) {
    app.add_option("--operation", operation,
                   "Id of the operation; give the same when trying again after an unknown outcome");
}

void add_local_verbs(CLI::App& app, parse_target& target) {
    const auto node =
        add_verb<node_command>(app, target, "node", "Run a node beside an upstream",
                               "cyclamenhatch node --settings /etc/cyclamenhatch/node.toml");
    node.app->add_option("--settings", node.made->settings, "Settings file")->required();
    const auto check =
        add_verb<check_command>(app, target, "check", "Check files and report every finding",
                                "cyclamenhatch check --settings node.toml --resources all.toml");
    check.app->add_option("--settings", check.made->settings, "Settings file");
    check.app->add_option("--resources", check.made->resources,
                          "Resource files, checked together; TOML, or JSON when named *.json");
    check.app->require_option(1, 0);
    static_cast<void>(add_verb<version_command>(app, target, "version", "Show the release",
                                                "cyclamenhatch version"));
}

void add_resource_verbs(CLI::App& app, parse_target& target) {
    const auto get =
        add_verb<get_command>(app, target, "get", "Show resources in force on a node",
                              "cyclamenhatch get route catalogue browse --output json");
    get.app->add_option("kind", get.made->kind, "service, route, upstream_version or move");
    get.app->add_option("names", get.made->names, "Service, then name")->expected(0, 2);
    add_connection(*get.app, get.made->to);

    const auto apply =
        add_verb<apply_command>(app, target, "apply", "Create or replace resources, as one change",
                                "cyclamenhatch apply -f catalogue.toml --wait");
    apply.app->add_option("-f,--file", apply.made->files, "TOML, or JSON when named *.json")
        ->required();
    apply.app->add_flag("--dry-run", apply.made->is_dry_run, "Check on the node, change nothing");
    apply.app->add_flag("--wait", apply.made->is_waiting, "Return when in force on every node");
    apply.app->add_option("--timeout", apply.made->timeout_s, "Longest wait in seconds")
        ->capture_default_str();
    add_operation(*apply.app, apply.made->operation);
    add_connection(*apply.app, apply.made->to);

    const auto remove = add_verb<delete_command>(app, target, "delete", "Delete one resource",
                                                 "cyclamenhatch delete route catalogue browse");
    remove.app->add_option("kind", remove.made->kind, "service, route, upstream_version or move")
        ->required();
    remove.app->add_option("names", remove.made->names, "Service, then name")
        ->required()
        ->expected(1, 2);
    remove.app->add_flag("--whole", remove.made->is_whole,
                         "Delete a service with its routes, upstream versions and moves");
    add_operation(*remove.app, remove.made->operation);
    add_connection(*remove.app, remove.made->to);

    const auto watch =
        add_verb<watch_command>(app, target, "watch", "Follow versions and ends of moves",
                                "cyclamenhatch watch --after 41 --output json");
    watch.app->add_option("--after", watch.made->after, "Configuration version to start after");
    add_connection(*watch.app, watch.made->to);
}

void add_move_start(CLI::App& moves, parse_target& target) {
    const auto start = add_verb<move_start_command>(
        moves, target, "start", "Start a move of traffic to another upstream version",
        "cyclamenhatch move start --service catalogue --name to-v2 --from v1 --to v2 "
        "--deadline 2026-12-05T06:00:00Z --dry-run");
    auto& app = *start.app;
    auto& made = *start.made;
    app.add_option("--service", made.service, "Service")->required();
    app.add_option("--name", made.name, "Name of the move")->required();
    app.add_option("--from", made.from, "Upstream version to leave")->required();
    app.add_option("--to", made.target, "Upstream version to go to")->required();
    app.add_option("--deadline", made.deadline, "RFC 3339 time by which the move ends")->required();
    app.add_option("--start", made.start, "RFC 3339 time before which it does not begin");
    app.add_option("--first-share", made.first_share_permille,
                   "Share of calls in the first stage, in thousandths")
        ->capture_default_str();
    app.add_option("--min-calls", made.min_calls, "Fewest calls for a verdict on one stage")
        ->capture_default_str();
    app.add_option("--bake", made.bake_s, "Seconds at full share before the move is done")
        ->capture_default_str();
    app.add_option("--on-little-traffic", made.on_little_traffic, "take_back or done")
        ->capture_default_str()
        ->check(CLI::IsMember({"take_back", "done"}));
    app.add_flag("--dry-run", made.is_dry_run, "Show the schedule, change nothing");
    add_operation(app, made.operation);
    add_connection(app, made.to);
}

void add_move_verbs(CLI::App& app, parse_target& target) {
    auto* moves = app.add_subcommand("move", "Start, follow or cancel moves of traffic");
    moves->footer("Example: cyclamenhatch move status catalogue to-v2");
    moves->require_subcommand(1);
    add_move_start(*moves, target);

    const auto status =
        add_verb<move_status_command>(*moves, target, "status", "Show how moves go and ended",
                                      "cyclamenhatch move status catalogue to-v2");
    status.app->add_option("service", status.made->service, "Service");
    status.app->add_option("name", status.made->name, "Name of the move");
    add_connection(*status.app, status.made->to);

    const auto cancel =
        add_verb<move_cancel_command>(*moves, target, "cancel", "Have an open move taken back",
                                      "cyclamenhatch move cancel catalogue to-v2");
    cancel.app->add_option("service", cancel.made->service, "Service")->required();
    cancel.app->add_option("name", cancel.made->name, "Name of the move")->required();
    add_operation(*cancel.app, cancel.made->operation);
    add_connection(*cancel.app, cancel.made->to);
}

void add_page_verbs(CLI::App& app, parse_target& target) {
    const std::map<std::string, std::string> pages{{"status", "Show the fleet at a glance"},
                                                   {"dump", "Show all state of one node"},
                                                   {"usage", "Show slot use by owner"}};
    for (const auto& [name, description] : pages) {
        const auto page =
            add_verb<page_command>(app, target, name, description,
                                   "cyclamenhatch " + name + " --node http://10.20.1.11:7402");
        page.made->page = name;
        add_connection(*page.app, page.made->to);
    }
    const auto operation = add_verb<operation_command>(app, target, "operation",
                                                       "Show whether an operation was accepted",
                                                       "cyclamenhatch operation op-5f0c");
    operation.app->add_option("id", operation.made->operation, "Id of the operation")->required();
    add_connection(*operation.app, operation.made->to);
}

/// The library would only say that a subcommand is missing.
std::string describe_unknown_verb(const CLI::App& app, const std::vector<std::string>& arguments) {
    std::vector<std::string> verbs;
    for (const auto* each : app.get_subcommands([](const CLI::App*) { return true; })) {
        verbs.push_back(each->get_name());
    }
    const bool is_known = arguments.empty() || arguments[0].starts_with("-") ||
                          std::find(verbs.begin(), verbs.end(), arguments[0]) != verbs.end();
    if (is_known) {
        return "";
    }
    const auto meant = suggest_name(arguments[0], verbs);
    return "unknown verb \"" + arguments[0] + "\"; " +
           (meant.empty() ? "cyclamenhatch --help lists the verbs" : suggestion_remedy(meant)) +
           "\n";
}

} // namespace

std::variant<command, command_line_end>
parse_command_line(const std::vector<std::string>& arguments) {
    CLI::App app{"Configuration distribution and traffic moves for a mesh of upstreams",
                 "cyclamenhatch"};
    app.footer("Exit codes: 0 done, 1 refused, 2 usage, 3 not reachable, 4 outcome unknown.\n"
               "Example: cyclamenhatch status --node http://10.20.1.11:7402");
    app.require_subcommand(1);
    parse_target target;
    add_local_verbs(app, target);
    add_resource_verbs(app, target);
    add_move_verbs(app, target);
    add_page_verbs(app, target);
    if (auto text = describe_unknown_verb(app, arguments); !text.empty()) {
        return command_line_end{.is_error = true, .text = std::move(text)};
    }
    try {
        app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
    } catch (const CLI::ParseError& end) {
        std::ostringstream text;
        const bool is_error = app.exit(end, text, text) != 0;
        return command_line_end{.is_error = is_error, .text = text.str()};
    }
    return std::get<command>(std::move(target.chosen));
}

} // namespace cyclamenhatch::cli
