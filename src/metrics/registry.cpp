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
    // Shorter durations than the first bound fall into the first bucket.
    std::vector<double> bounds{0};
    for (int i = 0; i < bucket_count; ++i) {
        bounds.push_back(std::ldexp(first_bound_us, i));
    }
    return bounds;
}

using axis = histogram::axis::variable<double>;
/// Filling touches one atomic cell, so threads need no lock.
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
    for (const char each : text) {
        if (each == '\n') {
            out += "\\n";
            continue;
        }
        if (each == '"' || each == '\\') {
            out += '\\';
        }
        out += each;
    }
    return out;
}

std::string to_text(const labels& with) {
    std::string out;
    for (const auto& each : with) {
        out.append(out.empty() ? "{" : ",").append(each.name);
        out.append("=\"").append(escape(each.value)).append("\"");
    }
    return out.empty() ? out : out + "}";
}

void write_line(std::string& out, const std::string& name, const labels& with,
                const std::string& value) {
    out.append(name).append(to_text(with)).append(" ").append(value).append("\n");
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

std::uint64_t count_at(const latency_histogram& from, int bucket) {
    return from.durations.at(bucket).load();
}

void write_histogram(std::string& out, const std::string& name, const labels& with,
                     const latency_histogram& from) {
    std::uint64_t below = 0;
    for (int i = 0; i < bucket_count; ++i) {
        below += count_at(from, i);
        auto bounded = with;
        const double bound = from.durations.axis().bin(i).upper() / microseconds_per_second;
        bounded.push_back({"le", to_text(bound)});
        write_line(out, name + "_bucket", bounded, std::to_string(below));
    }
    const auto all = std::to_string(below + count_at(from, bucket_count));
    auto unbounded = with;
    unbounded.push_back({"le", "+Inf"});
    write_line(out, name + "_bucket", unbounded, all);
    const double sum = static_cast<double>(from.total_us.load()) / microseconds_per_second;
    write_line(out, name + "_sum", with, to_text(sum));
    write_line(out, name + "_count", with, all);
}

void write_metric(std::string& out, const std::string& name, const labels& with,
                  const metric& from) {
    if (const auto* counted = std::get_if<std::unique_ptr<counter>>(&from.value)) {
        write_line(out, name, with, std::to_string((*counted)->value.load()));
    } else if (const auto* level = std::get_if<std::unique_ptr<gauge>>(&from.value)) {
        write_line(out, name, with, to_text((*level)->value.load()));
    } else {
        write_histogram(out, name, with, *std::get<std::unique_ptr<latency_histogram>>(from.value));
    }
}

} // namespace

struct registry {
    mutable std::mutex mutex;
    std::map<std::string, family> families;
};

namespace {

template <class Metric>
Metric& get_metric(registry& from, const std::string& name, const std::string& help,
                   const labels& with) {
    const std::lock_guard lock(from.mutex);
    auto& named = from.families[name];
    if (named.help.empty()) {
        named.help = help;
    }
    const auto held = named.members.find(with);
    if (held != named.members.end()) {
        return *std::get<std::unique_ptr<Metric>>(held->second.value);
    }
    auto made = std::make_unique<Metric>();
    auto& result = *made;
    named.members.emplace(with, metric{std::move(made)});
    return result;
}

} // namespace

void record(latency_histogram& into, microseconds duration) {
    const auto us = std::max<std::int64_t>(duration.count(), 0);
    into.durations(static_cast<double>(us));
    into.total_us.fetch_add(static_cast<std::uint64_t>(us), std::memory_order_relaxed);
}

std::uint64_t count(const latency_histogram& from) {
    std::uint64_t all = 0;
    for (int i = 0; i <= bucket_count; ++i) {
        all += count_at(from, i);
    }
    return all;
}

microseconds find_quantile(const latency_histogram& from, double quantile) {
    const auto wanted =
        static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(count(from))));
    std::uint64_t below = 0;
    for (int i = 0; i < bucket_count && wanted > 0; ++i) {
        below += count_at(from, i);
        if (below >= wanted) {
            return microseconds{std::llround(from.durations.axis().bin(i).upper())};
        }
    }
    const double last = std::ldexp(first_bound_us, bucket_count - 1);
    return microseconds{wanted == 0 ? 0 : std::llround(last)};
}

std::shared_ptr<registry> make_registry() {
    return std::make_shared<registry>();
}

counter& get_counter(registry& from, const std::string& name, const std::string& help,
                     const labels& with) {
    return get_metric<counter>(from, name, help, with);
}

gauge& get_gauge(registry& from, const std::string& name, const std::string& help,
                 const labels& with) {
    return get_metric<gauge>(from, name, help, with);
}

latency_histogram& get_latency(registry& from, const std::string& name, const std::string& help,
                               const labels& with) {
    return get_metric<latency_histogram>(from, name, help, with);
}

std::string write_text(const registry& from) {
    constexpr std::array<std::string_view, 3> kinds{"counter", "gauge", "histogram"};
    const std::lock_guard lock(from.mutex);
    std::string out;
    for (const auto& [name, named] : from.families) {
        const auto kind = kinds[named.members.begin()->second.value.index()];
        out.append("# HELP ").append(name).append(" ").append(escape(named.help)).append("\n");
        out.append("# TYPE ").append(name).append(" ").append(kind).append("\n");
        for (const auto& [with, each] : named.members) {
            write_metric(out, name, with, each);
        }
    }
    return out;
}

} // namespace cyclamenhatch::metrics
