#include "store_service.h"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

namespace {

using namespace cyclamenhatch::standin;

void add_store(CLI::App& app, store_options& options) {
    auto* command = app.add_subcommand("store", "the key-value service, in memory");
    command->add_option("--ip", options.ip, "address to listen on");
    command->add_option("--port", options.port, "port of the JSON gateway")->required();
    command->add_option("--control-port", options.control_port, "port for faults and counters");
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Stand-ins for the platform's store, an upstream and a caller, for tests.",
                 "cyclamenhatch-standin");
    app.require_subcommand(1);
    store_options store;
    add_store(app, store);
    CLI11_PARSE(app, argc, argv);
    try {
        return run_store(store);
    } catch (const std::exception& error) {
        std::cerr << "event=failed reason=\"" << error.what() << "\"\n";
        return 1;
    }
}
