#include "edge/latency_histogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <sstream>
#include <vector>

namespace cyclamenhatch::edge {
namespace {

namespace bh = boost::histogram;

constexpr double us_per_s = 1e6;
constexpr double least_us = 10;
constexpr double most_us = 100'000'000;
/// Ten bins per factor of ten.
constexpr unsigned bin_count = 70;

using axis = bh::axis::regular<double, bh::axis::transform::log>;
using storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using histogram = bh::histogram<std::tuple<axis>, storage>;

histogram make_histogram() {
    return bh::make_histogram_with(storage{}, axis(bin_count, least_us, most_us));
}

std::uint64_t bin_value(const histogram& of, int index) {
    return of.at(index);
}

} // namespace

struct latency_histograms::bins {
    std::vector<histogram> by_segment;
    std::array<std::atomic<std::uint64_t>, segment_count> sums_us{};
};

std::string_view segment_name(segment of) {
    static constexpr std::array<std::string_view, segment_count> names{
        "entry", "link", "gate_queue", "upstream", "whole"};
    return names.at(static_cast<std::size_t>(of));
}

latency_histograms::latency_histograms() : bins_(std::make_unique<bins>()) {
    for (std::size_t each = 0; each < segment_count; ++each) {
        bins_->by_segment.push_back(make_histogram());
    }
}

latency_histograms::~latency_histograms() = default;

void latency_histograms::record(segment in, microseconds latency) {
    const auto index = static_cast<std::size_t>(in);
    const auto us = std::max<std::int64_t>(0, latency.count());
    bins_->by_segment[index](static_cast<double>(us));
    bins_->sums_us.at(index).fetch_add(static_cast<std::uint64_t>(us), std::memory_order_relaxed);
}

microseconds latency_histograms::quantile(segment in, double share) const {
    const auto& from = bins_->by_segment[static_cast<std::size_t>(in)];
    const auto wanted = static_cast<double>(count(in)) * share;
    double seen = 0;
    for (int index = -1; index <= static_cast<int>(bin_count); ++index) {
        seen += static_cast<double>(bin_value(from, index));
        if (seen > 0 && seen >= wanted) {
            return microseconds(static_cast<std::int64_t>(from.axis().value(index + 1)));
        }
    }
    return microseconds{0};
}

std::uint64_t latency_histograms::count(segment in) const {
    const auto& from = bins_->by_segment[static_cast<std::size_t>(in)];
    std::uint64_t all = 0;
    for (int index = -1; index <= static_cast<int>(bin_count); ++index) {
        all += bin_value(from, index);
    }
    return all;
}

std::string latency_histograms::to_prometheus(std::string_view name) const {
    std::ostringstream out;
    out << "# TYPE " << name << " histogram\n";
    for (std::size_t each = 0; each < segment_count; ++each) {
        const auto& from = bins_->by_segment[each];
        const auto of = static_cast<segment>(each);
        std::uint64_t seen = bin_value(from, -1);
        for (int index = 0; index < static_cast<int>(bin_count); ++index) {
            seen += bin_value(from, index);
            out << name << "_bucket{segment=\"" << segment_name(of) << "\",le=\""
                << from.axis().value(index + 1) / us_per_s << "\"} " << seen << '\n';
        }
        const auto all = count(of);
        const auto sum = static_cast<double>(bins_->sums_us.at(each)) / us_per_s;
        out << name << "_bucket{segment=\"" << segment_name(of) << "\",le=\"+Inf\"} " << all << '\n'
            << name << "_sum{segment=\"" << segment_name(of) << "\"} " << sum << '\n'
            << name << "_count{segment=\"" << segment_name(of) << "\"} " << all << '\n';
    }
    return out.str();
}

} // namespace cyclamenhatch::edge
