#include "metrics/registry.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <map>
#include <mutex>
#include <string_view>
#include <variant>

namespace cyclamenhatch::metrics {
namespace {

namespace histogram = boost::histogram;

constexpr double microseconds_per_second = 1e6;
constexpr double first_bound_us = 50;
constexpr int bucket_count = 22;

std::vector<double> make_bounds() {
    // The first bucket starts at 0, to include durations below the first bound.
    std::vector<double> bounds{0};
    for (int i = 0; i < bucket_count; ++i) {
        bounds.push_back(std::ldexp(first_bound_us, i));
    }
    return bounds;
}

using axis = histogram::axis::variable<double>;
/// Recording a duration increments one atomic cell, so no lock is needed.
using cell = histogram::accumulators::thread_safe<std::uint64_t>;
using buckets =
    decltype(histogram::make_histogram_with(histogram::dense_storage<cell>(), axis(make_bounds())));

std::string to_text(double number) {
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
    return {digits.data(), end};
}

std::string escape(std::string_view text) {
    std::string out;
    for (const char c : text) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c;
    }
    return out;
}

std::string to_text(const labels& metric_labels) {
    std::string out;
    for (const auto& each : metric_labels) {
        out.append(out.empty() ? "{" : ",").append(each.name);
        out.append("=\"").append(escape(each.value)).append("\"");
    }
    return out.empty() ? out : out + "}";
}

void write_line(std::string& out, const std::string& name, const labels& metric_labels,
                const std::string& value) {
    out.append(name).append(to_text(metric_labels)).append(" ").append(value).append("\n");
}

} // namespace

struct latency_histogram {
    buckets durations =
        histogram::make_histogram_with(histogram::dense_storage<cell>(), axis(make_bounds()));
    std::atomic<std::uint64_t> total_us{0};
};

namespace {

struct metric {
    std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                 std::unique_ptr<latency_histogram>>
        value;
};

/// All metrics of one name.
struct family {
    std::string help;
    std::map<labels, metric> members;
};

std::uint64_t count_at(const latency_histogram& recorded, int bucket) {
    return recorded.durations.at(bucket).load();
}

void write_histogram(std::string& out, const std::string& name, const labels& metric_labels,
                     const latency_histogram& recorded) {
    std::uint64_t cumulative = 0;
    for (int i = 0; i < bucket_count; ++i) {
        cumulative += count_at(recorded, i);
        auto bucket_labels = metric_labels;
        const double bound = recorded.durations.axis().bin(i).upper() / microseconds_per_second;
        bucket_labels.push_back({"le", to_text(bound)});
        write_line(out, name + "_bucket", bucket_labels, std::to_string(cumulative));
    }
    const auto total = std::to_string(cumulative + count_at(recorded, bucket_count));
    auto infinity_labels = metric_labels;
    infinity_labels.push_back({"le", "+Inf"});
    write_line(out, name + "_bucket", infinity_labels, total);
    const double sum = static_cast<double>(recorded.total_us.load()) / microseconds_per_second;
    write_line(out, name + "_sum", metric_labels, to_text(sum));
    write_line(out, name + "_count", metric_labels, total);
}

void write_metric(std::string& out, const std::string& name, const labels& metric_labels,
                  const metric& written) {
    if (const auto* counter_value = std::get_if<std::unique_ptr<counter>>(&written.value)) {
        write_line(out, name, metric_labels, std::to_string((*counter_value)->value.load()));
    } else if (const auto* gauge_value = std::get_if<std::unique_ptr<gauge>>(&written.value)) {
        write_line(out, name, metric_labels, to_text((*gauge_value)->value.load()));
    } else {
        write_histogram(out, name, metric_labels,
                        *std::get<std::unique_ptr<latency_histogram>>(written.value));
    }
}

} // namespace

struct registry {
    mutable std::mutex mutex;
    std::map<std::string, family> families;
};

namespace {

template <class Metric>
Metric& get_metric(registry& metrics_registry, const std::string& name, const std::string& help,
                   const labels& metric_labels) {
    const std::lock_guard lock(metrics_registry.mutex);
    auto& metric_family = metrics_registry.families[name];
    if (metric_family.help.empty()) {
        metric_family.help = help;
    }
    const auto it = metric_family.members.find(metric_labels);
    if (it != metric_family.members.end()) {
        return *std::get<std::unique_ptr<Metric>>(it->second.value);
    }
    auto new_metric = std::make_unique<Metric>();
    auto& result = *new_metric;
    metric_family.members.emplace(metric_labels, metric{std::move(new_metric)});
    return result;
}

} // namespace

void record(latency_histogram& recorded, microseconds duration) {
    const auto us = std::max<std::int64_t>(duration.count(), 0);
    recorded.durations(static_cast<double>(us));
    recorded.total_us.fetch_add(static_cast<std::uint64_t>(us), std::memory_order_relaxed);
}

std::uint64_t count(const latency_histogram& recorded) {
    std::uint64_t total = 0;
    for (int i = 0; i <= bucket_count; ++i) {
        total += count_at(recorded, i);
    }
    return total;
}

microseconds find_quantile(const latency_histogram& recorded, double quantile) {
    const auto rank =
        static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(count(recorded))));
    std::uint64_t cumulative = 0;
    for (int i = 0; i < bucket_count && rank > 0; ++i) {
        cumulative += count_at(recorded, i);
        if (cumulative >= rank) {
            return microseconds{std::llround(recorded.durations.axis().bin(i).upper())};
        }
    }
    const double last = std::ldexp(first_bound_us, bucket_count - 1);
    return microseconds{rank == 0 ? 0 : std::llround(last)};
}

std::shared_ptr<registry> make_registry() {
    return std::make_shared<registry>();
}

counter& get_counter(registry& metrics_registry, const std::string& name, const std::string& help,
                     const labels& metric_labels) {
    return get_metric<counter>(metrics_registry, name, help, metric_labels);
}

gauge& get_gauge(registry& metrics_registry, const std::string& name, const std::string& help,
                 const labels& metric_labels) {
    return get_metric<gauge>(metrics_registry, name, help, metric_labels);
}

latency_histogram& get_latency(registry& metrics_registry, const std::string& name,
                               const std::string& help, const labels& metric_labels) {
    return get_metric<latency_histogram>(metrics_registry, name, help, metric_labels);
}

std::string write_text(const registry& metrics_registry) {
    constexpr std::array<std::string_view, 3> kinds{"counter", "gauge", "histogram"};
    const std::lock_guard lock(metrics_registry.mutex);
    std::string out;
    for (const auto& [name, metric_family] : metrics_registry.families) {
        const auto kind = kinds[metric_family.members.begin()->second.value.index()];
        out.append("# HELP ")
            .append(name)
            .append(" ")
            .append(escape(metric_family.help))
            .append("\n");
        out.append("# TYPE ").append(name).append(" ").append(kind).append("\n");
        for (const auto& [metric_labels, each] : metric_family.members) {
            write_metric(out, name, metric_labels, each);
        }
    }
    return out;
}

} // namespace cyclamenhatch::metrics
