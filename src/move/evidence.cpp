#include "move/evidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cyclamenhatch::moves {

namespace {

constexpr milliseconds min_window{1000};
/// A window waits this long for enough calls of both versions.
constexpr milliseconds good_window{4000};
constexpr double good_window_calls = 4;
/// Largest score of a window: a dying endpoint causes a short burst of errors, while a bad version
/// keeps failing.
constexpr float max_window_score = 6.0F;
/// Time in which most calls that began before the share was lowered have ended.
constexpr milliseconds settle_time{1500};
/// Calls of the old version needed to set the thresholds for slow calls.
constexpr double calibration_calls = 20;
constexpr double slow_fraction = 0.12;
constexpr double very_slow_fraction = 0.015;
/// Weight, in calls, of the old version's history for the reference `earlier`.
constexpr double earlier_calls = 500;
/// Weight, in calls, of the old version's latest history.
constexpr double latest_calls = 50;
/// Weight, in calls, of the prior: the usual rates, assumed before any call was seen.
constexpr double prior_calls = 50;
/// Ratio of new to old calls above which the old version has too few calls to compare with.
constexpr double alone_ratio = 50;
/// Prior probability that a fault begins in one window.
constexpr double window_weight = 1.0 / 600;

void count_call(version_counts& counts, const call::call_sample& sample) {
    if (sample.kind == call::sample_kind::refused) {
        ++counts.refusals;
        return;
    }
    ++counts.calls;
    counts.errors += sample.kind == call::sample_kind::error ? 1 : 0;
    counts.busy_us += static_cast<std::uint64_t>(std::max<std::int64_t>(sample.latency.count(), 0));
    if (sample.kind == call::sample_kind::ok) {
        ++counts.latency.at(latency_bucket(sample.run_time.value_or(sample.latency)));
    }
}

/// First bucket at and above which at most `fraction` of the calls lie.
std::size_t upper_bucket(const recent_calls& counts, double fraction) {
    const double allowed = counts.calls * fraction;
    double above = 0;
    std::size_t bucket = latency_buckets;
    while (bucket > 0 && above + counts.latency.at(bucket - 1) <= allowed) {
        above += counts.latency.at(--bucket);
    }
    return bucket;
}

void calibrate(route_record& route) {
    if (route.earlier.calls < calibration_calls) {
        return;
    }
    route.slow_bucket = upper_bucket(route.earlier, slow_fraction);
    route.very_slow_bucket = upper_bucket(route.earlier, very_slow_fraction);
}

void add_to_window(window_counts& counts, const route_record& route,
                   const call::call_sample& sample) {
    counts.calls += 1;
    if (sample.kind == call::sample_kind::error) {
        counts.hits[static_cast<std::size_t>(measure::errors)] += 1;
    }
    const std::size_t bucket = latency_bucket(sample.latency);
    if (bucket >= route.slow_bucket) {
        counts.hits[static_cast<std::size_t>(measure::slow)] += 1;
    }
    if (bucket >= route.very_slow_bucket) {
        counts.hits[static_cast<std::size_t>(measure::very_slow)] += 1;
    }
}

split concurrent_split(const window& counts, std::size_t measure_index) {
    return {.new_calls = counts.on_new.calls,
            .old_calls = counts.on_old.calls,
            .new_hits = counts.on_new.hits[measure_index],
            .old_hits = counts.on_old.hits[measure_index]};
}

double earlier_hits(const route_record& route, measure kind) {
    if (kind == measure::errors) {
        return route.earlier.errors;
    }
    const std::size_t first_bucket =
        kind == measure::slow ? route.slow_bucket : route.very_slow_bucket;
    const auto& counts = route.earlier.latency;
    return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(first_bucket), counts.end(),
                           0.0);
}

/// Compares with the old version's earlier calls while it has next to none now.
split earlier_split(const route_record& route, std::size_t measure_index) {
    const window& counts = route.open;
    if (counts.on_old.calls * alone_ratio > counts.on_new.calls || route.earlier.calls <= 0) {
        return {};
    }
    return {.new_calls = counts.on_new.calls,
            .old_calls = route.earlier.calls,
            .new_hits = counts.on_new.hits[measure_index],
            .old_hits = earlier_hits(route, static_cast<measure>(measure_index))};
}

/// The old version's rate before the open window, from its latest calls, so that it follows a
/// change that affects both versions.
double old_rate(const route_record& route, std::size_t measure_index) {
    constexpr std::array<double, measure_count> usual_rates{0.002, slow_fraction,
                                                            very_slow_fraction};
    const double prior_hits = usual_rates.at(measure_index) * prior_calls;
    return (route.latest.hits[measure_index] + prior_hits) / (route.latest.calls + prior_calls);
}

score_table score_window(const route_record& route) {
    score_table scores{};
    for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
        const effect_sizes odds =
            odds_ratios(static_cast<measure>(measure_index), old_rate(route, measure_index));
        scores[0][measure_index] = score(concurrent_split(route.open, measure_index), odds);
        scores[1][measure_index] = score(earlier_split(route, measure_index), odds);
    }
    return scores;
}

void fold_old_calls(route_record& route) {
    recent_calls& earlier = route.earlier;
    const double fade = earlier.calls > earlier_calls ? earlier_calls / earlier.calls : 1.0;
    earlier.calls = earlier.calls * fade + route.old_in_window.calls;
    earlier.errors = earlier.errors * fade + route.old_in_window.errors;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        earlier.latency.at(i) = earlier.latency.at(i) * fade + route.old_in_window.latency.at(i);
    }
    route.old_in_window = {};
    const double window_calls = route.open.on_old.calls;
    const double latest_fade = std::max(1 - window_calls / latest_calls, 0.0);
    route.latest.calls = route.latest.calls * latest_fade + window_calls;
    for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
        route.latest.hits[measure_index] =
            route.latest.hits[measure_index] * latest_fade + route.open.on_old.hits[measure_index];
    }
}

void close_window(route_record& route, instant now) {
    score_table scores = score_window(route);
    for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
        for (std::size_t reference_index = 0; reference_index < reference_count;
             ++reference_index) {
            limit_scores(scores[reference_index][measure_index], max_window_score);
            for (std::size_t i = 0; i < effect_count; ++i) {
                route.closed[reference_index][measure_index][i] +=
                    scores[reference_index][measure_index][i];
            }
        }
        advance(route.local[measure_index], scores[0][measure_index], window_weight);
    }
    fold_old_calls(route);
    calibrate(route);
    route.open = window{.opened = now};
}

/// Depends on calls only, never on hits, so that closing a window does not bias the test. Windows
/// with very few calls of either version would overstate its share.
bool is_full(const route_record& route, std::uint32_t permille, instant now) {
    const double fewest_calls = std::min(route.open.on_new.calls, route.open.on_old.calls);
    const auto age = now - route.open.opened;
    if (age < min_window) {
        return false;
    }
    const bool has_full_share = permille >= 1000 && route.open.on_new.calls >= 1;
    return has_full_share || fewest_calls >= good_window_calls ||
           (fewest_calls >= 1 && age >= good_window);
}

} // namespace

std::size_t latency_bucket(microseconds latency) {
    constexpr double lowest_us = 100;
    if (latency.count() < static_cast<std::int64_t>(lowest_us)) {
        return 0;
    }
    const double position = 2 * std::log2(static_cast<double>(latency.count()) / lowest_us);
    return std::min(static_cast<std::size_t>(position), latency_buckets - 1);
}

void add_sample(entry_evidence& self, const call::call_sample& sample, bool is_new, instant now) {
    auto [it, is_first] = self.routes.try_emplace(sample.route);
    route_record& route = it->second;
    if (is_first) {
        route.open.opened = now;
    }
    count_call(is_new ? route.on_new : route.on_old, sample);
    if (sample.kind == call::sample_kind::refused || now < self.settled_at) {
        return;
    }
    add_to_window(is_new ? route.open.on_new : route.open.on_old, route, sample);
    if (!is_new) {
        route.old_in_window.calls += 1;
        route.old_in_window.errors += sample.kind == call::sample_kind::error ? 1 : 0;
        route.old_in_window.latency.at(latency_bucket(sample.latency)) += 1;
    }
}

void close_windows(entry_evidence& self, std::uint32_t permille, instant now) {
    const bool share_changed = permille != self.permille;
    for (auto& [name, route] : self.routes) {
        if (share_changed || is_full(route, permille, now)) {
            close_window(route, now);
        }
    }
    if (permille < self.permille) {
        self.settled_at = now + settle_time;
    }
    self.permille = permille;
}

local_finding strongest_local(const entry_evidence& self) {
    local_finding strongest;
    for (const auto& [name, route] : self.routes) {
        const score_table open = score_window(route);
        for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
            detector open_detector = route.local[measure_index];
            advance(open_detector, open[0][measure_index], window_weight);
            const double sustained = level(route.local[measure_index]);
            const double with_open_window = std::max(sustained, level(open_detector));
            if (with_open_window > strongest.with_open_window) {
                strongest = {.route = name,
                             .kind = static_cast<measure>(measure_index),
                             .sustained = sustained,
                             .with_open_window = with_open_window};
            }
        }
    }
    return strongest;
}

} // namespace cyclamenhatch::moves
