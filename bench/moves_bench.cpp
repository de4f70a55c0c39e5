#include "bench/moves_scenario.h"
#include "bench/registry.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <thread>

namespace cyclamenhatch::bench {

namespace {

struct moves_options {
    unsigned seeds = 20;
    unsigned threads = 4;
    std::string csv;
    std::string only_version;
    std::string only_fault;
    std::string only_policy;
    double only_rate = 0;
    bool prints_reasons = false;
    bool traces = false;
    unsigned first_seed = 1;
};

/// A row of the matrix: a scenario without its seed, and its runs.
struct matrix_row {
    scenario setup;
    std::vector<run_result> runs;
};

constexpr double call_rates[] = {20, 200, 1000};

std::vector<environment_fault> list_faults() {
    using f = environment_fault;
    return {f::none,          f::store_down,      f::controller_killed,
            f::herd,          f::region_cut,      f::misleading_health,
            f::shared_errors, f::shared_slowness, f::lying_node};
}

bool is_chosen(const moves_options& options, const scenario& row) {
    return (options.only_version.empty() || options.only_version == row.version.name) &&
           (options.only_fault.empty() || options.only_fault == name_of(row.fault)) &&
           (options.only_policy.empty() || options.only_policy == name_of(row.policy)) &&
           (options.only_rate <= 0 || options.only_rate == row.calls_per_s);
}

/// Returns, for each policy, all versions at each rate without a fault and all versions with each
/// fault at the middle rate.
std::vector<matrix_row> list_rows(const moves_options& options) {
    std::vector<matrix_row> rows;
    using p = move_policy;
    for (const p policy : {p::product, p::timed_ramp, p::all_at_once, p::error_threshold}) {
        for (const auto& version : list_versions()) {
            for (const double rate : call_rates) {
                for (const auto fault : list_faults()) {
                    const bool is_included = rate == 200 || fault == environment_fault::none;
                    const scenario setup{
                        .version = version, .fault = fault, .policy = policy, .calls_per_s = rate};
                    if (is_included && is_chosen(options, setup)) {
                        rows.push_back({.setup = setup});
                    }
                }
            }
        }
    }
    return rows;
}

void run_rows(std::vector<matrix_row>& rows, const moves_options& options) {
    for (auto& row : rows) {
        row.runs.resize(options.seeds);
    }
    std::atomic<std::size_t> next{0};
    const std::size_t count = rows.size() * options.seeds;
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < std::max(options.threads, 1U); ++i) {
        workers.emplace_back([&] {
            for (std::size_t job = next++; job < count; job = next++) {
                matrix_row& row = rows[job / options.seeds];
                scenario seeded_setup = row.setup;
                seeded_setup.seed = job % options.seeds + options.first_seed;
                seeded_setup.is_traced = options.traces;
                row.runs[job % options.seeds] = run_scenario(seeded_setup);
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
}

double percentile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(part * last))];
}

template <class Value> std::vector<double> collect(const matrix_row& row, Value value) {
    std::vector<double> values;
    values.reserve(row.runs.size());
    for (const auto& run : row.runs) {
        values.push_back(static_cast<double>(value(run)));
    }
    return values;
}

template <class Test> double percent(const matrix_row& row, Test test) {
    const auto hits = std::count_if(row.runs.begin(), row.runs.end(), test);
    return 100.0 * static_cast<double>(hits) / static_cast<double>(row.runs.size());
}

void print_row(const matrix_row& row, std::FILE* csv) {
    const double in_time = percent(row, [](const run_result& run) { return run.is_in_time; });
    const double taken_back = percent(row, [](const run_result& run) { return run.is_taken_back; });
    const double one_ending = percent(row, [](const run_result& run) { return run.endings == 1; });
    const auto hurt = collect(row, [](const run_result& run) { return run.calls_hurt; });
    const auto met = collect(row, [](const run_result& run) {
        const auto calls = std::max<double>(run.service_calls, 1);
        return 100.0 * static_cast<double>(run.calls_met) / calls;
    });
    const auto move_s = std::chrono::duration<double>(move_length).count();
    const auto met_of_move = collect(row, [&](const run_result& run) {
        return 100.0 * static_cast<double>(run.calls_met) / (row.setup.calls_per_s * move_s);
    });
    const auto fault_to_last =
        collect(row, [](const run_result& run) { return run.fault_to_last_call_s; });
    const auto veto_to_last =
        collect(row, [](const run_result& run) { return run.veto_to_last_call_s; });
    const auto move_times = collect(row, [](const run_result& run) { return run.move_time_s; });
    std::printf("%-16s %-16s %-18s %6.0f %5u %7.2f %7.2f %8.0f %8.0f %7.2f %7.2f %7.2f %7.2f %6.2f "
                "%7.1f %7.2f\n",
                name_of(row.setup.policy), row.setup.version.name.c_str(), name_of(row.setup.fault),
                row.setup.calls_per_s, static_cast<unsigned>(row.runs.size()), in_time, taken_back,
                percentile(hurt, 0.5), percentile(hurt, 0.99), percentile(met, 0.5),
                percentile(met_of_move, 0.99), percentile(fault_to_last, 0.5),
                percentile(fault_to_last, 0.99), percentile(veto_to_last, 1.0),
                percentile(move_times, 0.5), one_ending);
    if (csv != nullptr) {
        std::fprintf(
            csv, "%s,%s,%s,%.0f,%zu,%.3f,%.3f,%.0f,%.0f,%.4f,%.4f,%.3f,%.3f,%.3f,%.2f,%.3f\n",
            name_of(row.setup.policy), row.setup.version.name.c_str(), name_of(row.setup.fault),
            row.setup.calls_per_s, row.runs.size(), in_time, taken_back, percentile(hurt, 0.5),
            percentile(hurt, 0.99), percentile(met, 0.5), percentile(met_of_move, 0.99),
            percentile(fault_to_last, 0.5), percentile(fault_to_last, 0.99),
            percentile(veto_to_last, 1.0), percentile(move_times, 0.5), one_ending);
    }
}

void print_reasons(const matrix_row& row) {
    for (std::size_t i = 0; i < row.runs.size(); ++i) {
        const run_result& run = row.runs[i];
        const bool is_right = row.setup.version.is_bad ? run.is_taken_back : run.is_in_time;
        if (!is_right) {
            std::printf("  seed=%zu outcome=%s time=%.1f reason=\"%s\"\n", i + 1,
                        run.is_done         ? "done"
                        : run.is_taken_back ? "taken_back"
                                            : "open",
                        run.move_time_s, run.reason.c_str());
        }
    }
}

void print_summary(const std::vector<matrix_row>& rows) {
    using p = move_policy;
    for (const p policy : {p::product, p::timed_ramp, p::all_at_once, p::error_threshold}) {
        double good_runs = 0;
        double good_in_time = 0;
        double false_take_backs = 0;
        double bad_runs = 0;
        double bad_taken_back = 0;
        double one_ending = 0;
        for (const auto& row : rows) {
            if (row.setup.policy != policy) {
                continue;
            }
            for (const auto& run : row.runs) {
                const bool is_bad = row.setup.version.is_bad;
                good_runs += is_bad ? 0 : 1;
                bad_runs += is_bad ? 1 : 0;
                good_in_time += !is_bad && run.is_in_time ? 1 : 0;
                false_take_backs += !is_bad && run.is_taken_back ? 1 : 0;
                bad_taken_back += is_bad && run.is_taken_back ? 1 : 0;
                one_ending += run.endings == 1 ? 1 : 0;
            }
        }
        if (good_runs + bad_runs > 0) {
            std::printf(
                "summary policy=%s good_runs=%.0f good_in_time=%.2f%% false_take_backs=%.2f%% "
                "bad_runs=%.0f bad_taken_back=%.2f%% one_ending=%.2f%%\n",
                name_of(policy), good_runs, 100 * good_in_time / std::max(good_runs, 1.0),
                100 * false_take_backs / std::max(good_runs, 1.0), bad_runs,
                100 * bad_taken_back / std::max(bad_runs, 1.0),
                100 * one_ending / (good_runs + bad_runs));
        }
    }
}

void run_moves(const moves_options& options) {
    auto rows = list_rows(options);
    if (rows.empty()) {
        throw std::runtime_error("no row of the matrix fits the options");
    }
    run_rows(rows, options);
    using file_ptr = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;
    const file_ptr csv_file(options.csv.empty() ? nullptr : std::fopen(options.csv.c_str(), "w"),
                            &std::fclose);
    std::FILE* csv = csv_file.get();
    const char* columns =
        "policy,version,fault,calls_per_s,seeds,in_time_percent,taken_back_percent,"
        "hurt_median,hurt_p99,met_percent_median,met_percent_of_move_p99,"
        "fault_to_last_s_median,fault_to_last_s_p99,veto_to_last_s_max,"
        "move_s_median,one_ending_percent\n";
    std::printf("%s", columns);
    if (csv != nullptr) {
        std::fprintf(csv, "%s", columns);
    }
    for (const auto& row : rows) {
        print_row(row, csv);
        if (options.prints_reasons) {
            print_reasons(row);
        }
    }
    print_summary(rows);
}

void add_moves(CLI::App& app) {
    static moves_options options;
    auto* command =
        app.add_subcommand("moves", "Good and bad versions under faults, virtual time.");
    command->add_option("--seeds", options.seeds, "Runs per row");
    command->add_option("--threads", options.threads, "Worker threads")->check(CLI::Range(1, 4));
    command->add_option("--csv", options.csv, "File for the table as CSV");
    command->add_option("--version", options.only_version, "Only this version");
    command->add_option("--fault", options.only_fault, "Only this fault");
    command->add_option("--policy", options.only_policy, "Only this policy");
    command->add_option("--rate", options.only_rate, "Only this rate, in calls per second");
    command->add_flag("--reasons", options.prints_reasons, "Print each wrong outcome's reason");
    command->add_flag("--trace", options.traces, "Print the nodes' log lines");
    command->add_option("--first-seed", options.first_seed, "Seed of the first run");
    command->callback([] { run_moves(options); });
}

const command_registrar registrar({.name = "moves", .add = add_moves});

} // namespace

} // namespace cyclamenhatch::bench
