#include "cli/command.h"
#include "document/suggestion.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <map>
#include <memory>

namespace cyclamenhatch::cli {
namespace {

/// Receives the command of the subcommand that was parsed.
struct parse_target {
    std::variant<std::monostate, command> value;
};

const std::map<std::string, output_format> output_names{{"table", output_format::table},
                                                        {"json", output_format::json}};

/// One verb. CLI11 stores its options in `options`, which become the command when the verb is
/// parsed.
template <class Command> struct verb {
    CLI::App* app = nullptr;
    std::shared_ptr<Command> options = std::make_shared<Command>();
};

template <class Command>
verb<Command> add_verb(CLI::App& parent, parse_target& target, const std::string& name,
                       const std::string& description, const std::string& example) {
    verb<Command> result;
    result.app = parent.add_subcommand(name, description);
    result.app->footer("Example: " + example);
    result.app->callback([&target, options = result.options] { target.value = command(*options); });
    return result;
}

void add_connection(CLI::App& app, connection_options& connection) {
    app.add_option("--node", connection.node, "Admin URL of any node, as http://IP:PORT")
        ->envname("CYCLAMENHATCH_NODE")
        ->capture_default_str();
    app.add_option("--token", connection.token, "Operators' bearer token")
        ->envname("CYCLAMENHATCH_TOKEN");
    app.add_option("--output", connection.output, "table or json")
        ->transform(CLI::CheckedTransformer(output_names));
}

void add_operation(CLI::App& app, std::string& operation) {
    app.add_option("--operation", operation,
                   "Id of the operation; use the same id to retry after an unknown outcome");
}

void add_local_verbs(CLI::App& app, parse_target& target) {
    const auto node =
        add_verb<node_command>(app, target, "node", "Run a node beside an upstream",
                               "cyclamenhatch node --settings /etc/cyclamenhatch/node.toml");
    node.app->add_option("--settings", node.options->settings, "Settings file")->required();
    const auto check =
        add_verb<check_command>(app, target, "check", "Check files and report every finding",
                                "cyclamenhatch check --settings node.toml --resources all.toml");
    check.app->add_option("--settings", check.options->settings, "Settings file");
    check.app->add_option("--resources", check.options->resources,
                          "Resource files, checked together; TOML, or JSON when named *.json");
    check.app->require_option(1, 0);
    static_cast<void>(add_verb<version_command>(app, target, "version", "Show the release",
                                                "cyclamenhatch version"));
}

void add_resource_verbs(CLI::App& app, parse_target& target) {
    const auto get =
        add_verb<get_command>(app, target, "get", "Show resources in force on a node",
                              "cyclamenhatch get route catalogue browse --output json");
    get.app->add_option("kind", get.options->kind, "service, route, upstream_version or move");
    get.app->add_option("names", get.options->names, "Service, then name")->expected(0, 2);
    add_connection(*get.app, get.options->connection);

    const auto apply =
        add_verb<apply_command>(app, target, "apply", "Create or replace resources, as one change",
                                "cyclamenhatch apply -f catalogue.toml --wait");
    apply.app->add_option("-f,--file", apply.options->files, "TOML, or JSON when named *.json")
        ->required();
    apply.app->add_flag("--dry-run", apply.options->is_dry_run,
                        "Check on the node, change nothing");
    apply.app->add_flag("--wait", apply.options->is_waiting, "Wait until in force on every node");
    apply.app->add_option("--timeout", apply.options->timeout_s, "Longest wait in seconds")
        ->capture_default_str();
    add_operation(*apply.app, apply.options->operation);
    add_connection(*apply.app, apply.options->connection);

    const auto remove = add_verb<delete_command>(app, target, "delete", "Delete one resource",
                                                 "cyclamenhatch delete route catalogue browse");
    remove.app->add_option("kind", remove.options->kind, "service, route, upstream_version or move")
        ->required();
    remove.app->add_option("names", remove.options->names, "Service, then name")
        ->required()
        ->expected(1, 2);
    remove.app->add_flag("--whole", remove.options->is_whole,
                         "Delete a service with its routes, upstream versions and moves");
    add_operation(*remove.app, remove.options->operation);
    add_connection(*remove.app, remove.options->connection);

    const auto watch =
        add_verb<watch_command>(app, target, "watch", "Follow new versions and ended moves",
                                "cyclamenhatch watch --after 41 --output json");
    watch.app->add_option("--after", watch.options->after, "Configuration version to start after");
    add_connection(*watch.app, watch.options->connection);
}

void add_move_start(CLI::App& moves, parse_target& target) {
    const auto start = add_verb<move_start_command>(
        moves, target, "start", "Start a move of traffic to another upstream version",
        "cyclamenhatch move start --service catalogue --name to-v2 --from v1 --to v2 "
        "--deadline 2026-12-05T06:00:00Z --dry-run");
    auto& app = *start.app;
    auto& options = *start.options;
    app.add_option("--service", options.service, "Service")->required();
    app.add_option("--name", options.name, "Name of the move")->required();
    app.add_option("--from", options.from_version, "Upstream version to leave")->required();
    app.add_option("--to", options.to_version, "Upstream version to go to")->required();
    app.add_option("--deadline", options.deadline, "RFC 3339 time by which the move ends")
        ->required();
    app.add_option("--start", options.start, "RFC 3339 time before which the move does not begin");
    app.add_option("--first-share", options.first_share_permille,
                   "Share of calls in the first stage, in thousandths")
        ->capture_default_str();
    app.add_option("--min-calls", options.min_calls, "Minimum number of calls to judge a stage by")
        ->capture_default_str();
    app.add_option("--bake", options.bake_s, "Seconds at full share before the move is done")
        ->capture_default_str();
    app.add_option("--on-little-traffic", options.on_little_traffic, "take_back or done")
        ->capture_default_str()
        ->check(CLI::IsMember({"take_back", "done"}));
    app.add_flag("--dry-run", options.is_dry_run, "Show the schedule, change nothing");
    add_operation(app, options.operation);
    add_connection(app, options.connection);
}

void add_move_verbs(CLI::App& app, parse_target& target) {
    auto* moves = app.add_subcommand("move", "Start, follow or cancel moves of traffic");
    moves->footer("Example: cyclamenhatch move status catalogue to-v2");
    moves->require_subcommand(1);
    add_move_start(*moves, target);

    const auto status = add_verb<move_status_command>(*moves, target, "status",
                                                      "Show the progress and outcome of moves",
                                                      "cyclamenhatch move status catalogue to-v2");
    status.app->add_option("service", status.options->service, "Service");
    status.app->add_option("name", status.options->name, "Name of the move");
    add_connection(*status.app, status.options->connection);

    const auto cancel =
        add_verb<move_cancel_command>(*moves, target, "cancel", "Take back an open move",
                                      "cyclamenhatch move cancel catalogue to-v2");
    cancel.app->add_option("service", cancel.options->service, "Service")->required();
    cancel.app->add_option("name", cancel.options->name, "Name of the move")->required();
    add_operation(*cancel.app, cancel.options->operation);
    add_connection(*cancel.app, cancel.options->connection);
}

void add_page_verbs(CLI::App& app, parse_target& target) {
    const std::map<std::string, std::string> pages{{"status", "Show a summary of the fleet"},
                                                   {"dump", "Show all state of one node"},
                                                   {"usage", "Show slot use by owner"}};
    for (const auto& [name, description] : pages) {
        const auto page =
            add_verb<page_command>(app, target, name, description,
                                   "cyclamenhatch " + name + " --node http://10.20.1.11:7402");
        page.options->page = name;
        add_connection(*page.app, page.options->connection);
    }
    const auto operation = add_verb<operation_command>(app, target, "operation",
                                                       "Show whether an operation was accepted",
                                                       "cyclamenhatch operation op-5f0c");
    operation.app->add_option("id", operation.options->operation, "Id of the operation")
        ->required();
    add_connection(*operation.app, operation.options->connection);
}

/// An error text with a suggestion when the verb is unknown, else an empty text. CLI11 would only
/// report a missing subcommand.
std::string describe_unknown_verb(const CLI::App& app, const std::vector<std::string>& arguments) {
    std::vector<std::string> verbs;
    for (const auto* subcommand : app.get_subcommands([](const CLI::App*) { return true; })) {
        verbs.push_back(subcommand->get_name());
    }
    const bool is_known = arguments.empty() || arguments[0].starts_with("-") ||
                          std::find(verbs.begin(), verbs.end(), arguments[0]) != verbs.end();
    if (is_known) {
        return "";
    }
    const auto suggestion = suggest_name(arguments[0], verbs);
    return "unknown verb \"" + arguments[0] + "\"; " +
           (suggestion.empty() ? "cyclamenhatch --help lists the verbs"
                               : suggestion_remedy(suggestion)) +
           "\n";
}

} // namespace

std::variant<command, command_line_exit>
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
        return command_line_exit{.is_error = true, .text = std::move(text)};
    }
    try {
        app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
    } catch (const CLI::ParseError& error) {
        std::ostringstream text;
        const bool is_error = app.exit(error, text, text) != 0;
        return command_line_exit{.is_error = is_error, .text = text.str()};
    }
    return std::get<command>(std::move(target.value));
}

} // namespace cyclamenhatch::cli
