#pragma once

#include "model/time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Counters, gauges and latency histograms of one process, and their text for Prometheus.
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

    void add(std::uint64_t more = 1) { value.fetch_add(more, std::memory_order_relaxed); }
};

/// Goes up and down. Thread safe.
struct gauge {
    std::atomic<double> value{0};

    void set(double to) { value.store(to, std::memory_order_relaxed); }
};

/// Durations in buckets that double from 50 microseconds to about 100 s. Thread safe.
struct latency_histogram;

void record(latency_histogram& into, microseconds duration);

/// Number of durations recorded.
[[nodiscard]] std::uint64_t count(const latency_histogram& from);

/// Upper bound of the bucket that holds the quantile; zero when nothing was recorded.
/// Precondition: 0 < quantile <= 1.
[[nodiscard]] microseconds find_quantile(const latency_histogram& from, double quantile);

/// All metrics by name and labels. Opaque; made by make_registry.
struct registry;

[[nodiscard]] std::shared_ptr<registry> make_registry();

/// The metric with this name and these labels, made when it is new. The reference is valid as long
/// as the registry. Thread safe; takes a lock, so keep the reference on hot paths. Precondition: a
/// name stands for one kind of metric only; `help` counts the first time.
[[nodiscard]] counter& get_counter(registry& from, const std::string& name, const std::string& help,
                                   const labels& with = {});
[[nodiscard]] gauge& get_gauge(registry& from, const std::string& name, const std::string& help,
                               const labels& with = {});
[[nodiscard]] latency_histogram& get_latency(registry& from, const std::string& name,
                                             const std::string& help, const labels& with = {});

/// Prometheus text format 0.0.4, ordered by name and labels; durations in seconds. Thread safe.
[[nodiscard]] std::string write_text(const registry& from);

} // namespace cyclamenhatch::metrics
