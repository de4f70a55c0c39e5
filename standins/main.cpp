#include "caller.h"
#include "store_service.h"
#include "upstream.h"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

namespace {

using namespace cyclamenhatch::standin;

CLI::App* add_store(CLI::App& app, store_options& options) {
    auto* command = app.add_subcommand("store", "The key-value service, in memory.");
    command->add_option("--ip", options.ip, "address to listen on");
    command->add_option("--port", options.port, "port of the JSON gateway")->required();
    command->add_option("--control-port", options.control_port,
                        "port for faults and counters; the next one when absent");
    return command;
}

void add_upstream_faults(CLI::App& command, upstream_faults& faults) {
    command.add_option("--bad-after-s", faults.bad_after_s,
                       "seconds after the start from which the faults apply");
    command.add_option("--bad-share", faults.bad_share, "share of calls answered with 500");
    command.add_option("--slow-factor", faults.slow_factor, "factor on the service time");
    command.add_option("--only-route", faults.only_route, "faults only on this path prefix");
    command.add_option("--only-above-inflight", faults.only_above_inflight,
                       "faults only while more calls are in flight");
}

CLI::App* add_upstream(CLI::App& app, upstream_options& options) {
    auto* command = app.add_subcommand("upstream", "An upstream beside a node.");
    command->add_option("--ip", options.ip, "address to listen on");
    command->add_option("--port", options.port, "port for calls")->required();
    command->add_option("--node", options.node, "admin URL of the node, http://IP:PORT");
    command->add_option("--token", options.token, "bearer token of the node");
    command->add_option("--service", options.service, "service that it serves")->required();
    command->add_option("--version", options.version, "its version")->required();
    command->add_option("--slots", options.slots, "calls at a time");
    command->add_option("--service-ms", options.service_ms, "time that a call takes");
    command->add_option("--cold-start-s", options.cold_start_s, "seconds of slow calls at start");
    command->add_option("--drain-after-s", options.drain_after_s,
                        "seconds after the start when it drains");
    command->add_flag("--misleading-health", options.has_misleading_health,
                      "announces ready whatever its state");
    add_upstream_faults(*command, options.faults);
    return command;
}

CLI::App* add_caller(CLI::App& app, caller_options& options) {
    auto* command = app.add_subcommand("caller", "An open-loop load on nodes.");
    command->add_option("--targets", options.targets, "nodes' caller URLs")
        ->delimiter(',')
        ->required();
    command->add_option("--rate", options.rate, "calls per second");
    command->add_option("--seconds", options.seconds, "duration");
    command->add_option("--paths", options.paths, "paths, in turn")->delimiter(',');
    command->add_option("--key-prefix", options.key_prefix, "start of the call keys");
    command->add_option("--method", options.method, "HTTP method");
    command->add_option("--host", options.host, "Host header");
    command->add_option("--service", options.service, "service that every answer must name");
    command->add_option("--body-bytes", options.body_bytes, "size of request bodies");
    command->add_option("--timeout-ms", options.timeout_ms, "limit of one call");
    command->add_option("--ledgers", options.ledgers, "upstreams' URLs")->delimiter(',');
    command->add_flag("--progress", options.has_progress, "prints a line each second");
    return command;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app("Stand-ins for the platform's store, an upstream and a caller, for tests.",
                 "cyclamenhatch-standin");
    app.require_subcommand(1);
    store_options store;
    upstream_options upstream;
    caller_options caller;
    const auto* store_command = add_store(app, store);
    const auto* upstream_command = add_upstream(app, upstream);
    add_caller(app, caller);
    CLI11_PARSE(app, argc, argv);
    try {
        if (store_command->parsed()) {
            return run_store(store);
        }
        return upstream_command->parsed() ? run_upstream(upstream) : run_caller(caller);
    } catch (const std::exception& error) {
        std::cerr << "event=failed reason=\"" << error.what() << "\"\n";
        return 1;
    }
}
