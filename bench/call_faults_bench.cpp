#include "bench/http_load.h"
#include "bench/mesh_in_memory.h"
#include "bench/registry.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenhatch::bench {
namespace {

struct fault_options {
    unsigned upstreams = 3;
    unsigned slots = 4;
    unsigned service_us = 10'000;
    unsigned seconds = 6;
    unsigned deadline_ms = 300;
    /// Offered load in the overload scenario, as a multiple of the capacity.
    double overload = 3;
};

struct scenario {
    const char* name;
    /// Offered load as a multiple of the capacity.
    double load = 0.5;
    /// Injected after a third of the measurement; may be empty.
    std::function<void(mesh_in_memory&, const std::vector<std::shared_ptr<bench_upstream>>&)> fault;
};

/// Returns a counter from the metrics of the entry; 0 when it is absent.
double read_counter(mesh_in_memory& mesh, const std::string& name) {
    const auto text = edge::metrics_text(entry_of(mesh));
    const auto position = text.find("\n" + name + " ");
    return position == std::string::npos ? 0 : std::stod(text.substr(position + name.size() + 2));
}

std::uint64_t count_false_not_run(const load_result& result,
                                  const std::vector<std::shared_ptr<bench_upstream>>& upstreams) {
    std::uint64_t count = 0;
    for (const auto& id : result.not_run_ids) {
        count += std::any_of(upstreams.begin(), upstreams.end(),
                             [&](const auto& upstream) { return has_run(*upstream, id); })
                     ? 1
                     : 0;
    }
    return count;
}

void run_scenario(const fault_options& options, const scenario& setup, bool has_limits) {
    std::vector<std::shared_ptr<bench_upstream>> upstreams;
    mesh_options mesh_settings{.slots = options.slots,
                               .is_idempotent = false,
                               .timeout = milliseconds(options.deadline_ms),
                               .has_limits = has_limits,
                               .retry_budget_percent = has_limits ? 10U : 1000U};
    for (unsigned i = 0; i < options.upstreams; ++i) {
        upstreams.push_back(start_upstream(
            {.slots = options.slots, .service_time = microseconds(options.service_us)}));
        mesh_settings.upstream_ports.push_back(port_of(*upstreams.back()));
    }
    const auto mesh = start_mesh(mesh_settings);
    const double capacity = options.upstreams * options.slots * 1e6 / options.service_us;
    load_options load_settings;
    load_settings.ports = {entry_port(*mesh)};
    load_settings.calls_per_s = setup.load * capacity;
    load_settings.duration = std::chrono::seconds(options.seconds);
    // Enough that calls never wait for a free connection.
    load_settings.connections = 2000;
    std::thread fault([&] {
        std::this_thread::sleep_for(std::chrono::seconds(1) +
                                    std::chrono::seconds(options.seconds) / 3.0);
        if (setup.fault) {
            setup.fault(*mesh, upstreams);
        }
    });
    const auto result = run_load(load_settings);
    fault.join();
    std::uint64_t doubled = 0;
    for (const auto& upstream : upstreams) {
        doubled += counts_of(*upstream).doubled;
    }
    const auto requests = read_counter(*mesh, "cyclamenhatch_calls_total");
    const auto attempts = read_counter(*mesh, "cyclamenhatch_call_attempts_total");
    const auto goodput = static_cast<double>(result.ok) / result.seconds;
    const unsigned long long other = result.other + result.not_sent;
    std::printf(
        "| %s | %s | %.0f | %.0f | %.0f%% | %u | %llu | %llu | %llu | %llu | %llu | %.3f |\n",
        setup.name, has_limits ? "limits" : "baseline", load_settings.calls_per_s, goodput,
        100 * goodput / std::min(capacity, load_settings.calls_per_s),
        percentile(result.latencies_us, 0.99), static_cast<unsigned long long>(result.not_run),
        static_cast<unsigned long long>(result.unknown), other,
        static_cast<unsigned long long>(doubled),
        static_cast<unsigned long long>(count_false_not_run(result, upstreams)),
        requests > 0 ? attempts / requests : 0);
    std::fflush(stdout);
}

void run_faults(const fault_options& options) {
    const std::vector<scenario> scenarios{
        {"overload", options.overload, nullptr},
        {"one upstream ten times slower", 0.5,
         [](mesh_in_memory&, const auto& upstreams) {
             set_service_time(*upstreams[0], microseconds(100'000));
         }},
        {"drain of one node", 0.5,
         [](mesh_in_memory& mesh, const auto&) { edge::begin_drain(gate_of(mesh, 0)); }},
        {"link to one node lost and back", 0.5,
         [](mesh_in_memory& mesh, const auto&) {
             edge::on_link_lost(entry_of(mesh), node_id("gate0"));
         }},
    };
    std::printf("capacity %.0f calls/s, deadline %u ms, calls not idempotent\n\n",
                options.upstreams * options.slots * 1e6 / options.service_us, options.deadline_ms);
    std::printf(
        "| fault | way | offered/s | goodput/s | of possible | p99 us | not run | unknown | "
        "other | doubled | false not-run | attempts per call |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto& setup : scenarios) {
        run_scenario(options, setup, false);
        run_scenario(options, setup, true);
    }
}

void add_faults(CLI::App& app) {
    auto* command = app.add_subcommand("faults", "goodput and promises under faults, in memory");
    auto options = std::make_shared<fault_options>();
    command->add_option("--upstreams", options->upstreams, "upstreams with a gate each");
    command->add_option("--slots", options->slots, "slots of each upstream");
    command->add_option("--service-us", options->service_us, "time of one call");
    command->add_option("--seconds", options->seconds, "length of each measurement");
    command->add_option("--deadline-ms", options->deadline_ms, "time limit of each call");
    command->add_option("--overload", options->overload, "offered load over the capacity");
    command->callback([options] { run_faults(*options); });
}

const command_registrar registrar({.name = "faults", .add = add_faults});

} // namespace
} // namespace cyclamenhatch::bench
