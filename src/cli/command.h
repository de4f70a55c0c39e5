#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What the command line asked for.
namespace cyclamenhatch::cli {

enum class output_format { table, json };

/// Which node to ask, and how to show its answer.
struct connection {
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
    connection to;
    /// Empty shows all resources.
    std::string kind;
    /// Service, then name.
    std::vector<std::string> names;
};

struct apply_command {
    connection to;
    std::vector<std::string> files;
    bool is_dry_run = false;
    std::string operation;
    bool is_waiting = false;
    std::uint32_t timeout_s = 30;
};

struct delete_command {
    connection to;
    std::string kind;
    std::vector<std::string> names;
    /// Deletes a service with all that refers to it.
    bool is_whole = false;
    std::string operation;
};

struct watch_command {
    connection to;
    /// Negative starts at the present.
    std::int64_t after = -1;
};

struct move_start_command {
    connection to;
    std::string service;
    std::string name;
    std::string from;
    std::string target;
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
    connection to;
    std::string service;
    std::string name;
};

struct move_cancel_command {
    connection to;
    std::string service;
    std::string name;
    std::string operation;
};

/// status, dump or usage.
struct page_command {
    connection to;
    std::string page;
};

struct operation_command {
    connection to;
    std::string operation;
};

using command =
    std::variant<node_command, check_command, version_command, get_command, apply_command,
                 delete_command, watch_command, move_start_command, move_status_command,
                 move_cancel_command, page_command, operation_command>;

/// Nothing to run: help was asked for, or the command line is wrong.
struct command_line_end {
    bool is_error = false;
    std::string text;
};

/// Reads the command line. `arguments` leave out the program's name.
[[nodiscard]] std::variant<command, command_line_end>
parse_command_line(const std::vector<std::string>& arguments);

} // namespace cyclamenhatch::cli
