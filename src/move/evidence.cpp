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
/// Largest score of a window: an endpoint that dies gives a short burst of errors, a bad version
/// goes on.
constexpr float max_window_score = 6.0F;
/// After the share was lowered, calls begun before end within this time, mostly.
constexpr milliseconds settle_time{1500};
/// Calls of the old version that set what counts as slow.
constexpr double calibration_calls = 20;
constexpr double slow_fraction = 0.12;
constexpr double very_slow_fraction = 0.015;
/// Calls of the old version that are remembered for comparison.
constexpr double earlier_calls = 500;
/// Calls of the old version that show a sudden change.
constexpr double latest_calls = 50;
/// Weight of the usual rates, which are assumed before any call was seen.
constexpr double prior_calls = 50;
/// The new version has the entry almost to itself: the old one's calls are too few to compare with.
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
    route.slow_from = upper_bucket(route.earlier, slow_fraction);
    route.very_slow_from = upper_bucket(route.earlier, very_slow_fraction);
}

void add_to_window(window_counts& counts, const route_record& route,
                   const call::call_sample& sample) {
    counts.calls += 1;
    if (sample.kind == call::sample_kind::error) {
        counts.hits[static_cast<std::size_t>(measure::errors)] += 1;
    }
    const std::size_t bucket = latency_bucket(sample.latency);
    if (bucket >= route.slow_from) {
        counts.hits[static_cast<std::size_t>(measure::slow)] += 1;
    }
    if (bucket >= route.very_slow_from) {
        counts.hits[static_cast<std::size_t>(measure::very_slow)] += 1;
    }
}

split concurrent_split(const window& from, std::size_t of) {
    return {.new_calls = from.on_new.calls,
            .old_calls = from.on_old.calls,
            .new_hits = from.on_new.hits[of],
            .old_hits = from.on_old.hits[of]};
}

double earlier_hits(const route_record& route, measure of) {
    if (of == measure::errors) {
        return route.earlier.errors;
    }
    const std::size_t from = of == measure::slow ? route.slow_from : route.very_slow_from;
    const auto& counts = route.earlier.latency;
    return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(from), counts.end(), 0.0);
}

/// Against the old version's earlier calls, for as long as it has next to none now.
split earlier_split(const route_record& route, std::size_t of) {
    const window& from = route.open;
    if (from.on_old.calls * alone_ratio > from.on_new.calls || route.earlier.calls <= 0) {
        return {};
    }
    return {.new_calls = from.on_new.calls,
            .old_calls = route.earlier.calls,
            .new_hits = from.on_new.hits[of],
            .old_hits = earlier_hits(route, static_cast<measure>(of))};
}

/// The old version's rate as known before the open window, by its latest calls, so that a change
/// that both versions share is followed.
double old_rate(const route_record& route, std::size_t of) {
    constexpr std::array<double, measure_count> usual_rates{0.002, slow_fraction,
                                                            very_slow_fraction};
    const double prior_hits = usual_rates.at(of) * prior_calls;
    return (route.latest.hits[of] + prior_hits) / (route.latest.calls + prior_calls);
}

score_table score_window(const route_record& route) {
    score_table scores{};
    for (std::size_t of = 0; of < measure_count; ++of) {
        const effect_sizes odds = odds_ratios(static_cast<measure>(of), old_rate(route, of));
        scores[0][of] = score(concurrent_split(route.open, of), odds);
        scores[1][of] = score(earlier_split(route, of), odds);
    }
    return scores;
}

void remember_old(route_record& route) {
    recent_calls& kept = route.earlier;
    const double fade = kept.calls > earlier_calls ? earlier_calls / kept.calls : 1.0;
    kept.calls = kept.calls * fade + route.old_now.calls;
    kept.errors = kept.errors * fade + route.old_now.errors;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        kept.latency.at(i) = kept.latency.at(i) * fade + route.old_now.latency.at(i);
    }
    route.old_now = {};
    const double seen = route.open.on_old.calls;
    const double latest_fade = std::max(1 - seen / latest_calls, 0.0);
    route.latest.calls = route.latest.calls * latest_fade + seen;
    for (std::size_t of = 0; of < measure_count; ++of) {
        route.latest.hits[of] = route.latest.hits[of] * latest_fade + route.open.on_old.hits[of];
    }
}

void close_window(route_record& route, instant now) {
    score_table scores = score_window(route);
    for (std::size_t of = 0; of < measure_count; ++of) {
        for (std::size_t with = 0; with < reference_count; ++with) {
            limit_scores(scores[with][of], max_window_score);
            for (std::size_t i = 0; i < effect_count; ++i) {
                route.closed[with][of][i] += scores[with][of][i];
            }
        }
        advance(route.local[of], scores[0][of], window_weight);
    }
    remember_old(route);
    calibrate(route);
    route.open = window{.opened = now};
}

/// By calls alone, never by hits, so that closing does not favour either outcome. Windows with very
/// few calls of either version would overstate its share.
bool is_full(const route_record& route, std::uint32_t permille, instant now) {
    const double fewer = std::min(route.open.on_new.calls, route.open.on_old.calls);
    const auto age = now - route.open.opened;
    if (age < min_window) {
        return false;
    }
    const bool is_alone = permille >= 1000 && route.open.on_new.calls >= 1;
    return is_alone || fewer >= good_window_calls || (fewer >= 1 && age >= good_window);
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
    auto [found, is_first] = self.routes.try_emplace(sample.route);
    route_record& route = found->second;
    if (is_first) {
        route.open.opened = now;
    }
    count_call(is_new ? route.on_new : route.on_old, sample);
    if (sample.kind == call::sample_kind::refused || now < self.settled_at) {
        return;
    }
    add_to_window(is_new ? route.open.on_new : route.open.on_old, route, sample);
    if (!is_new) {
        route.old_now.calls += 1;
        route.old_now.errors += sample.kind == call::sample_kind::error ? 1 : 0;
        route.old_now.latency.at(latency_bucket(sample.latency)) += 1;
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
    local_finding found;
    for (const auto& [name, route] : self.routes) {
        const score_table open = score_window(route);
        for (std::size_t of = 0; of < measure_count; ++of) {
            detector with_open = route.local[of];
            advance(with_open, open[0][of], window_weight);
            const double sustained = level(route.local[of]);
            const double at_once = std::max(sustained, level(with_open));
            if (at_once > found.at_once) {
                found = {.route = name,
                         .what = static_cast<measure>(of),
                         .sustained = sustained,
                         .at_once = at_once};
            }
        }
    }
    return found;
}

} // namespace cyclamenhatch::moves
