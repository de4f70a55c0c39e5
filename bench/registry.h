#pragma once

#include <CLI/CLI.hpp>

#include <vector>

namespace cyclamenhatch::bench {

/// One subcommand of cyclamenhatch-bench. `add` declares the subcommand with its options and its
/// callback; a failed measurement throws std::runtime_error.
struct bench_command {
    const char* name = "";
    void (*add)(CLI::App& app) = nullptr;
};

/// Returns the registered commands.
[[nodiscard]] std::vector<bench_command>& commands();

/// Registers a command before main runs; each command's file defines one static object of this
/// type.
struct command_registrar {
    explicit command_registrar(const bench_command& command) { commands().push_back(command); }
};

} // namespace cyclamenhatch::bench
