#include "edge/latency_histogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <sstream>
#include <vector>

namespace cyclamenhatch::edge {
namespace {

namespace bh = boost::histogram;

constexpr double us_per_s = 1e6;
constexpr double min_us = 10;
constexpr double max_us = 100'000'000;
/// Ten bins per factor of ten.
constexpr unsigned bin_count = 70;

using axis = bh::axis::regular<double, bh::axis::transform::log>;
using storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using histogram = bh::histogram<std::tuple<axis>, storage>;

histogram make_histogram() {
    return bh::make_histogram_with(storage{}, axis(bin_count, min_us, max_us));
}

std::uint64_t bin_value(const histogram& bins, int index) {
    return bins.at(index);
}

} // namespace

struct latency_histograms::bins {
    std::vector<histogram> by_segment;
    std::array<std::atomic<std::uint64_t>, segment_count> sums_us{};
};

std::string_view segment_name(segment part) {
    static constexpr std::array<std::string_view, segment_count> names{
        "entry", "link", "link_delay", "gate_queue", "upstream", "whole"};
    return names.at(static_cast<std::size_t>(part));
}

latency_histograms::latency_histograms() : bins_(std::make_unique<bins>()) {
    for (std::size_t i = 0; i < segment_count; ++i) {
        bins_->by_segment.push_back(make_histogram());
    }
}

latency_histograms::~latency_histograms() = default;

void latency_histograms::record(segment part, microseconds latency) {
    const auto index = static_cast<std::size_t>(part);
    const auto us = std::max<std::int64_t>(0, latency.count());
    bins_->by_segment[index](static_cast<double>(us));
    bins_->sums_us.at(index).fetch_add(static_cast<std::uint64_t>(us), std::memory_order_relaxed);
}

microseconds latency_histograms::quantile(segment part, double share) const {
    const auto& counts = bins_->by_segment[static_cast<std::size_t>(part)];
    const auto rank = static_cast<double>(count(part)) * share;
    double cumulative = 0;
    for (int index = -1; index <= static_cast<int>(bin_count); ++index) {
        cumulative += static_cast<double>(bin_value(counts, index));
        if (cumulative > 0 && cumulative >= rank) {
            // The overflow bin has no upper edge.
            const auto edge = std::min(index + 1, static_cast<int>(bin_count));
            return microseconds(std::llround(counts.axis().value(edge)));
        }
    }
    return microseconds{0};
}

std::uint64_t latency_histograms::count(segment part) const {
    const auto& counts = bins_->by_segment[static_cast<std::size_t>(part)];
    std::uint64_t total = 0;
    for (int index = -1; index <= static_cast<int>(bin_count); ++index) {
        total += bin_value(counts, index);
    }
    return total;
}

std::string latency_histograms::to_prometheus(std::string_view name) const {
    std::ostringstream out;
    out << "# TYPE " << name << " histogram\n";
    for (std::size_t i = 0; i < segment_count; ++i) {
        const auto& counts = bins_->by_segment[i];
        const auto part = static_cast<segment>(i);
        std::uint64_t cumulative = bin_value(counts, -1);
        for (int index = 0; index < static_cast<int>(bin_count); ++index) {
            cumulative += bin_value(counts, index);
            out << name << "_bucket{segment=\"" << segment_name(part) << "\",le=\""
                << counts.axis().value(index + 1) / us_per_s << "\"} " << cumulative << '\n';
        }
        const auto total = count(part);
        const auto sum = static_cast<double>(bins_->sums_us.at(i)) / us_per_s;
        out << name << "_bucket{segment=\"" << segment_name(part) << "\",le=\"+Inf\"} " << total
            << '\n'
            << name << "_sum{segment=\"" << segment_name(part) << "\"} " << sum << '\n'
            << name << "_count{segment=\"" << segment_name(part) << "\"} " << total << '\n';
    }
    return out.str();
}

} // namespace cyclamenhatch::edge
