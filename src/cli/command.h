#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Commands that the command line can ask for, and their options.
namespace cyclamenhatch::cli {

enum class output_format { table, json };

/// Which node to query, and how to print its answer.
struct connection_options {
    std::string node = "http://127.0.0.1:7402";
    std::string token;
    output_format output = output_format::table;
};

struct node_command {
    std::string settings;
};

struct check_command {
    std::string settings;
    std::vector<std::string> resources;
};

struct version_command {};

struct get_command {
    connection_options connection;
    /// Empty shows all resources.
    std::string kind;
    /// The service, then the name of the resource. Fewer list all that match.
    std::vector<std::string> names;
};

struct apply_command {
    connection_options connection;
    std::vector<std::string> files;
    bool is_dry_run = false;
    std::string operation;
    bool is_waiting = false;
    std::uint32_t timeout_s = 30;
};

struct delete_command {
    connection_options connection;
    std::string kind;
    std::vector<std::string> names;
    /// Deletes a service with all that refers to it.
    bool is_whole = false;
    std::string operation;
};

struct watch_command {
    connection_options connection;
    /// Starts after this configuration version; negative starts after the current one.
    std::int64_t after = -1;
};

struct move_start_command {
    connection_options connection;
    std::string service;
    std::string name;
    std::string from_version;
    std::string to_version;
    std::string deadline;
    std::string start;
    std::int64_t first_share_permille = 10;
    std::int64_t min_calls = 200;
    std::int64_t bake_s = 30;
    std::string on_little_traffic = "take_back";
    bool is_dry_run = false;
    std::string operation;
};

struct move_status_command {
    connection_options connection;
    std::string service;
    std::string name;
};

struct move_cancel_command {
    connection_options connection;
    std::string service;
    std::string name;
    std::string operation;
};

/// Prints the node's page `page`: status, dump or usage.
struct page_command {
    connection_options connection;
    std::string page;
};

struct operation_command {
    connection_options connection;
    std::string operation;
};

using command =
    std::variant<node_command, check_command, version_command, get_command, apply_command,
                 delete_command, watch_command, move_start_command, move_status_command,
                 move_cancel_command, page_command, operation_command>;

/// There is no command to run: help was requested, or the command line is invalid.
struct command_line_exit {
    bool is_error = false;
    std::string text;
};

/// Parses the command line. `arguments` do not include the program's name.
[[nodiscard]] std::variant<command, command_line_exit>
parse_command_line(const std::vector<std::string>& arguments);

} // namespace cyclamenhatch::cli
