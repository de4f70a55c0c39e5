#pragma once

#include "model/time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Counters, gauges and latency histograms of one process, and their Prometheus text format.
namespace cyclamenhatch::metrics {

struct label {
    std::string name;
    std::string value;

    friend auto operator<=>(const label&, const label&) = default;
};

using labels = std::vector<label>;

/// Only grows. Thread safe.
struct counter {
    std::atomic<std::uint64_t> value{0};

    void add(std::uint64_t increment = 1) { value.fetch_add(increment, std::memory_order_relaxed); }
};

/// Goes up and down. Thread safe.
struct gauge {
    std::atomic<double> value{0};

    void set(double new_value) { value.store(new_value, std::memory_order_relaxed); }
};

/// Durations in buckets that double from 50 microseconds to about 100 s. Thread safe.
struct latency_histogram;

void record(latency_histogram& histogram, microseconds duration);

/// Number of durations recorded.
[[nodiscard]] std::uint64_t count(const latency_histogram& histogram);

/// Upper bound of the bucket that contains the quantile, but at most that of the last bounded
/// bucket; zero when nothing was recorded.
/// Precondition: 0 < quantile <= 1.
[[nodiscard]] microseconds find_quantile(const latency_histogram& histogram, double quantile);

/// All metrics by name and labels. Opaque; made by make_registry.
struct registry;

[[nodiscard]] std::shared_ptr<registry> make_registry();

/// Returns the metric with this name and these labels, creating it if needed. The reference is
/// valid for the lifetime of the registry. Thread safe; takes a lock, so keep the reference on hot
/// paths. `help` is used on the first call with a name only. Precondition: all metrics of one name
/// are of the same kind.
[[nodiscard]] counter& get_counter(registry& metrics_registry, const std::string& name,
                                   const std::string& help, const labels& metric_labels = {});
[[nodiscard]] gauge& get_gauge(registry& metrics_registry, const std::string& name,
                               const std::string& help, const labels& metric_labels = {});
[[nodiscard]] latency_histogram& get_latency(registry& metrics_registry, const std::string& name,
                                             const std::string& help,
                                             const labels& metric_labels = {});

/// Prometheus text format 0.0.4, ordered by name and labels; durations in seconds. Thread safe.
[[nodiscard]] std::string write_text(const registry& metrics_registry);

} // namespace cyclamenhatch::metrics
