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
    /// Number of times that each load is measured, alternately direct and through the mesh.
    unsigned rounds = 3;
    /// Entry ports of running nodes; empty to start a mesh in memory.
    std::vector<std::uint16_t> entry_ports;
    /// Port on which to serve the upstream of these nodes; 0 for a free port.
    std::uint16_t upstream_port = 0;
};

/// CPU time used by this process.
double cpu_seconds() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct measurement {
    load_result load;
    double cpu_us_per_call = 0;
};

measurement measure(const calls_options& options, const std::vector<std::uint16_t>& ports,
                    double rate) {
    load_options load_settings;
    load_settings.ports = ports;
    load_settings.calls_per_s = rate;
    load_settings.duration = std::chrono::seconds(options.seconds);
    load_settings.connections = options.connections;
    const auto cpu_before_s = cpu_seconds();
    measurement result{.load = run_load(load_settings)};
    const auto cpu_used_s = cpu_seconds() - cpu_before_s;
    const auto total_calls = rate * (options.seconds + 1);
    result.cpu_us_per_call = cpu_used_s * 1e6 / total_calls;
    return result;
}

/// Returns the answered calls per second when the offered load exceeds the capacity of the
/// upstream.
double find_capacity(const calls_options& options, std::uint16_t port) {
    auto short_run = options;
    short_run.seconds = 2;
    const double nominal = options.slots * 1e6 / options.service_us;
    const auto result = measure(short_run, {port}, nominal * 1.5);
    return static_cast<double>(result.load.ok_in_time) / result.load.seconds;
}

void print_row(const char* name, double share, const measurement& result) {
    const auto& sorted = result.load.latencies_us;
    std::printf("| %.0f%% | %s | %.0f | %u | %u | %u | %.0f | %llu |\n", share * 100, name,
                static_cast<double>(result.load.ok_in_time) / result.load.seconds,
                percentile(sorted, 0.5), percentile(sorted, 0.99), percentile(sorted, 0.999),
                result.cpu_us_per_call,
                static_cast<unsigned long long>(result.load.sent - result.load.ok));
    std::fflush(stdout);
}

void compare(const calls_options& options, std::uint16_t direct_port,
             const std::vector<std::uint16_t>& entries, double share, double capacity) {
    for (unsigned round = 0; round < options.rounds; ++round) {
        const auto direct = measure(options, {direct_port}, share * capacity);
        print_row("direct", share, direct);
        const auto through = measure(options, entries, share * capacity);
        print_row("through", share, through);
        const auto added = [&](double quantile) {
            return static_cast<int>(percentile(through.load.latencies_us, quantile)) -
                   static_cast<int>(percentile(direct.load.latencies_us, quantile));
        };
        std::printf("| %.0f%% | added | | %d | %d | %d | %.0f | |\n", share * 100, added(0.5),
                    added(0.99), added(0.999), through.cpu_us_per_call - direct.cpu_us_per_call);
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
