#include "bench/moves_traffic.h"

#include <algorithm>
#include <cmath>

namespace cyclamenhatch::bench {

namespace {

constexpr double base_error_rate = 0.002;
constexpr double base_median_us = 20000;
constexpr double base_sigma = 0.5;
/// Standard normal deviate of the 99th percentile.
constexpr double p99_deviate = 2.326;
constexpr double cold_factor = 3;
constexpr double shared_error_rate = 0.15;
constexpr double shared_slow_factor = 3;
constexpr double load_limit = 0.6;
constexpr std::uint32_t failures_to_eject = 2;
constexpr seconds ejection_time{2};
constexpr seconds later_onset{60};
constexpr seconds bake_onset{5};
constexpr milliseconds failed_call_time{300};
constexpr std::uint64_t callers_per_entry = 500;
constexpr std::size_t last_region_centre = 2;

std::size_t pick_route(random_source& random) {
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
    return drawn < 0.6 ? 0 : drawn < 0.9 ? 1 : 2;
}

/// Calls are assigned by a hash of the caller, so that a caller stays on one version at a given
/// share.
bool is_assigned_to_new(std::size_t entry, std::uint64_t caller, std::uint64_t seed,
                        std::uint32_t permille) {
    std::uint64_t hash = (entry * callers_per_entry + caller + 1) * 0x9E3779B97F4A7C15ULL + seed;
    hash = (hash ^ (hash >> 29)) * 0xBF58476D1CE4E5B9ULL;
    return (hash >> 32) % 1000 < permille;
}

std::size_t find_endpoint(const traffic& self, std::size_t entry, bool is_new, instant now,
                          random_source& random) {
    std::array<std::size_t, sim_nodes> near{};
    std::array<std::size_t, sim_nodes> far{};
    std::size_t near_count = 0;
    std::size_t far_count = 0;
    for (std::size_t i = 0; i < sim_nodes; ++i) {
        const endpoint_view& view = self.views[entry][i];
        if (self.hosts[i].is_new != is_new || !view.is_ready || now < view.ejected_until) {
            continue;
        }
        if (self.hosts[i].data_centre == self.hosts[entry].data_centre) {
            near[near_count++] = i;
        } else {
            far[far_count++] = i;
        }
    }
    if (near_count > 0) {
        return near[random() % near_count];
    }
    return far_count > 0 ? far[random() % far_count] : sim_nodes;
}

void record_failure(endpoint_view& view, instant now) {
    if (++view.failures >= failures_to_eject) {
        view.ejected_until = now + ejection_time;
        view.failures = failures_to_eject - 1;
    }
}

struct behaviour {
    double error_rate = base_error_rate;
    double factor = 1;
    double sigma = base_sigma;
};

behaviour make_behaviour(const traffic& self, const sim_host& host, bool is_hit, instant now) {
    behaviour result;
    if (is_hit) {
        const version_model& version = self.setup.version;
        result.error_rate += version.added_errors;
        result.factor *= version.slow_factor;
        result.sigma += std::log(version.tail_factor) / p99_deviate;
    }
    if (self.is_shared_fault && self.setup.fault == environment_fault::shared_errors) {
        result.error_rate += shared_error_rate;
    }
    if (self.is_shared_fault && self.setup.fault == environment_fault::shared_slowness) {
        result.factor *= shared_slow_factor;
    }
    if (now < host.cold_until) {
        result.factor *= cold_factor;
    }
    return result;
}

void count_second(traffic& self, bool is_new, instant now) {
    if (now >= self.second_end) {
        self.new_load = self.second_calls == 0 ? 0
                                               : static_cast<double>(self.second_new) /
                                                     static_cast<double>(self.second_calls);
        self.second_calls = 0;
        self.second_new = 0;
        self.second_end = now + seconds(1);
    }
    ++self.second_calls;
    self.second_new += is_new ? 1 : 0;
}

void record_exposure(traffic& self, bool is_hurt, instant now) {
    if (self.fault_began == instant{}) {
        self.fault_began = now;
    }
    ++self.result.calls_met;
    self.result.calls_hurt += is_hurt ? 1 : 0;
    self.last_met = now;
}

void simulate_call(traffic& self, std::size_t entry, std::uint32_t permille, instant now,
                   random_source& random) {
    const std::uint64_t caller = random() % callers_per_entry;
    const bool is_new = is_assigned_to_new(entry, caller, self.setup.seed, permille);
    const std::size_t route = pick_route(random);
    ++self.result.service_calls;
    count_second(self, is_new, now);
    call::call_sample sample{.service = service_id("layouts"),
                             .route = route_id("r" + std::to_string(route)),
                             .version = version_id(is_new ? "v2" : "v1")};
    const std::size_t endpoint = find_endpoint(self, entry, is_new, now, random);
    if (endpoint == sim_nodes) {
        sample.kind = call::sample_kind::refused;
        self.pending[entry].push({.end = now, .sample = sample});
        return;
    }
    if (is_new) {
        self.last_new_call = now;
    }
    if (!is_reachable(self, entry, endpoint)) {
        record_failure(self.views[entry][endpoint], now);
        sample.kind = call::sample_kind::error;
        sample.latency = failed_call_time;
        self.pending[entry].push({.end = now + sample.latency, .sample = sample});
        return;
    }
    const bool is_hit =
        is_new && is_fault_showing(self, now) && (!self.setup.version.on_one_route || route == 2);
    const behaviour model = make_behaviour(self, self.hosts[endpoint], is_hit, now);
    const double deviate = std::normal_distribution<double>()(random);
    sample.latency = microseconds(
        static_cast<std::int64_t>(base_median_us * model.factor * std::exp(model.sigma * deviate)));
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
    const bool is_error = drawn < model.error_rate;
    sample.kind = is_error ? call::sample_kind::error : call::sample_kind::ok;
    if (is_hit) {
        const bool is_slow = self.setup.version.slow_factor > 1 ||
                             (self.setup.version.tail_factor > 1 && deviate > p99_deviate / 2);
        record_exposure(self, is_slow || (is_error && drawn >= base_error_rate), now);
    }
    self.pending[entry].push({.end = now + sample.latency, .sample = sample});
}

} // namespace

traffic make_traffic(const scenario& setup, instant begin_time) {
    traffic result{.setup = setup, .begin_time = begin_time};
    for (std::size_t i = 0; i < sim_nodes; ++i) {
        result.hosts[i].is_new = i >= sim_nodes / 2;
        result.hosts[i].data_centre = i % sim_data_centres;
    }
    return result;
}

bool is_fault_showing(const traffic& self, instant now) {
    if (!self.setup.version.is_bad) {
        return false;
    }
    switch (self.setup.version.onset) {
    case fault_onset::at_once:
        return true;
    case fault_onset::later:
        return now >= self.begin_time + later_onset;
    case fault_onset::in_bake:
        return self.full_since != instant{} && now >= self.full_since + bake_onset;
    case fault_onset::under_load:
        return self.new_load > load_limit;
    }
    return false;
}

void simulate_calls(traffic& self, std::size_t entry, std::uint32_t permille, microseconds tick,
                    instant now, random_source& random) {
    const auto up_count = std::count_if(self.hosts.begin(), self.hosts.end(),
                                        [](const sim_host& host) { return host.is_up; });
    const double mean = self.setup.calls_per_s * std::chrono::duration<double>(tick).count() /
                        static_cast<double>(std::max<std::ptrdiff_t>(up_count, 1));
    const auto count = std::poisson_distribution<int>(mean)(random);
    for (int i = 0; i < count; ++i) {
        simulate_call(self, entry, permille, now, random);
    }
}

std::vector<call::call_sample> take_ended_calls(traffic& self, std::size_t entry, instant now) {
    std::vector<call::call_sample> samples;
    auto& pending = self.pending[entry];
    while (!pending.empty() && pending.top().end <= now) {
        samples.push_back(pending.top().sample);
        pending.pop();
        if (samples.back().version.value == "v2") {
            ++self.window_new;
            self.window_errors += samples.back().kind == call::sample_kind::error ? 1 : 0;
        }
    }
    return samples;
}

bool is_reachable(const traffic& self, std::size_t source, std::size_t target) {
    const bool crosses = (self.hosts[source].data_centre == last_region_centre) !=
                         (self.hosts[target].data_centre == last_region_centre);
    return self.hosts[target].is_up && !(self.is_cut && crosses);
}

} // namespace cyclamenhatch::bench
