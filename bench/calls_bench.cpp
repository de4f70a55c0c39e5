#include "bench/http_load.h"
#include "bench/mesh_in_memory.h"
#include "bench/registry.h"

#include <sys/resource.h>

#include <cstdio>
#include <memory>
#include <stdexcept>
#include <unistd.h>
#include <vector>

namespace cyclamenhatch::bench {
namespace {

struct calls_options {
    unsigned slots = 12;
    unsigned service_us = 1000;
    unsigned seconds = 5;
    unsigned connections = 64;
    unsigned workers = 2;
    /// Times that each load is measured, direct and through turn by turn.
    unsigned rounds = 3;
    /// Entry ports of running nodes; empty for a mesh in memory.
    std::vector<std::uint16_t> entry_ports;
    /// Upstream's port that those nodes use; 0 for one of this program's own.
    std::uint16_t upstream_port = 0;
};

double cpu_seconds() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& from) {
        return static_cast<double>(from.tv_sec) + static_cast<double>(from.tv_usec) / 1e6;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

struct measured {
    load_result load;
    double cpu_us_per_call = 0;
};

measured measure(const calls_options& options, const std::vector<std::uint16_t>& ports,
                 double rate) {
    load_options load;
    load.ports = ports;
    load.calls_per_s = rate;
    load.duration = std::chrono::seconds(options.seconds);
    load.connections = options.connections;
    const auto before = cpu_seconds();
    measured out{.load = run_load(load)};
    const auto used = cpu_seconds() - before;
    const auto all_calls = rate * (options.seconds + 1);
    out.cpu_us_per_call = used * 1e6 / all_calls;
    return out;
}

/// Answered calls per second when far more are offered than the upstream can do.
double find_capacity(const calls_options& options, std::uint16_t port) {
    auto short_run = options;
    short_run.seconds = 2;
    const double nominal = options.slots * 1e6 / options.service_us;
    const auto got = measure(short_run, {port}, nominal * 1.5);
    return static_cast<double>(got.load.ok_in_time) / got.load.seconds;
}

void print_row(const char* name, double share, const measured& of) {
    const auto& sorted = of.load.latencies_us;
    std::printf("| %.0f%% | %s | %.0f | %u | %u | %u | %.0f | %llu |\n", share * 100, name,
                static_cast<double>(of.load.ok_in_time) / of.load.seconds, percentile(sorted, 0.5),
                percentile(sorted, 0.99), percentile(sorted, 0.999), of.cpu_us_per_call,
                static_cast<unsigned long long>(of.load.sent - of.load.ok));
    std::fflush(stdout);
}

void compare(const calls_options& options, std::uint16_t direct,
             const std::vector<std::uint16_t>& entries, double share, double capacity) {
    for (unsigned round = 0; round < options.rounds; ++round) {
        const auto without = measure(options, {direct}, share * capacity);
        print_row("direct", share, without);
        const auto with = measure(options, entries, share * capacity);
        print_row("through", share, with);
        const auto added = [&](double quantile) {
            return static_cast<int>(percentile(with.load.latencies_us, quantile)) -
                   static_cast<int>(percentile(without.load.latencies_us, quantile));
        };
        std::printf("| %.0f%% | added | | %d | %d | %d | %.0f | |\n", share * 100, added(0.5),
                    added(0.99), added(0.999), with.cpu_us_per_call - without.cpu_us_per_call);
        std::fflush(stdout);
    }
}

void run_calls(const calls_options& options) {
    auto upstream = start_upstream({.port = options.upstream_port,
                                    .slots = options.slots,
                                    .service_time = microseconds(options.service_us)});
    const auto port = port_of(*upstream);
    std::shared_ptr<mesh_in_memory> mesh;
    auto entries = options.entry_ports;
    if (entries.empty()) {
        mesh = start_mesh(
            {.upstream_ports = {port}, .slots = options.slots, .workers = options.workers});
        entries = {entry_port(*mesh)};
    }
    const auto capacity = find_capacity(options, port);
    std::printf("capacity %.0f calls/s, %u slots, %u us each, %u connections, %u workers\n\n",
                capacity, options.slots, options.service_us, options.connections, options.workers);
    std::printf("| load | way | calls/s | p50 us | p99 us | p99.9 us | cpu us/call | failed |\n"
                "|---|---|---|---|---|---|---|---|\n");
    for (const double share : {0.1, 0.5, 0.9}) {
        compare(options, port, entries, share, capacity);
    }
    if (mesh) {
        std::printf("\n%s", edge::metrics_text(entry_of(*mesh)).substr(0, 600).c_str());
    }
}

void add_calls(CLI::App& app) {
    auto* command = app.add_subcommand("calls", "added latency, direct against through the mesh");
    auto options = std::make_shared<calls_options>();
    command->add_option("--slots", options->slots, "slots of the upstream");
    command->add_option("--service-us", options->service_us, "time of one call at the upstream");
    command->add_option("--seconds", options->seconds, "length of each measurement");
    command->add_option("--connections", options->connections, "connections of the callers");
    command->add_option("--workers", options->workers, "worker threads of each node");
    command->add_option("--rounds", options->rounds, "measurements of each load");
    command->add_option("--entry-port", options->entry_ports, "entries of running nodes");
    command->add_option("--upstream-port", options->upstream_port, "upstream's port to serve on");
    command->callback([options] { run_calls(*options); });
}

const command_registrar registrar({.name = "calls", .add = add_calls});

} // namespace
} // namespace cyclamenhatch::bench
