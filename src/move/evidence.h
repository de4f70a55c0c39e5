#pragma once

#include "call/call_sample.h"
#include "model/ids.h"
#include "model/time.h"
#include "move/verdict.h"

#include <array>
#include <cstdint>
#include <map>

/// What the calls through one entry show of the two versions of a move. Pure; times are arguments.
namespace cyclamenhatch::moves {

/// Latency buckets are powers of the square root of two from 100 microseconds on.
inline constexpr std::size_t latency_buckets = 40;

[[nodiscard]] std::size_t latency_bucket(microseconds latency);

/// All calls of one version on one route since the move's attempt began.
struct version_counts {
    std::uint64_t calls = 0;
    std::uint64_t errors = 0;
    std::uint64_t refusals = 0;
    std::uint64_t busy_us = 0;
    std::array<std::uint64_t, latency_buckets> latency{};
};

/// Calls and hits of one version within a window.
struct window_counts {
    double calls = 0;
    std::array<double, measure_count> hits{};
};

/// Recent calls of the old version; older ones fade.
struct recent_calls {
    double calls = 0;
    double errors = 0;
    std::array<double, latency_buckets> latency{};
};

struct window {
    instant opened;
    window_counts on_new;
    window_counts on_old;
};

/// Evidence of one route at this entry.
struct route_record {
    version_counts on_new;
    version_counts on_old;
    window open;
    /// Scores of closed windows.
    score_table closed{};
    /// What the reference `earlier` compares with.
    recent_calls earlier;
    /// The last few calls of the old version, for a sudden change that both versions share.
    window_counts latest;
    /// Calls of the old version in the open window, to be added to `earlier`.
    recent_calls old_now;
    /// First latency bucket that counts as slow, and as very slow; none until enough calls of the
    /// old version were seen.
    std::size_t slow_from = latency_buckets;
    std::size_t very_slow_from = latency_buckets;
    /// This entry's own accumulated evidence of the closed windows, per measure.
    std::array<detector, measure_count> local = make_detectors();
};

/// Evidence of one move at this entry.
struct entry_evidence {
    instant begun;
    std::map<route_id, route_record> routes;
    /// Share that the open windows were filled at.
    std::uint32_t permille = 0;
    /// Calls that end before this time may have begun at a larger share and are left out.
    instant settled_at;
};

/// Counts one call that ended now on the new or on the old version.
void add_sample(entry_evidence& self, const call::call_sample& sample, bool is_new, instant now);

/// Closes windows that hold calls of both versions, or all of them when the share in force here has
/// changed, since a window's calls must have been divided at one share.
void close_windows(entry_evidence& self, std::uint32_t permille, instant now);

/// The route on which this entry's own evidence against the new version is strongest.
struct local_finding {
    route_id route;
    measure what = measure::errors;
    /// Of closed windows, each limited, so that a burst of errors does not suffice.
    double sustained = 0;
    /// The open window included, not limited: fit for a reaction that passes, not for a verdict.
    double at_once = 0;
};

[[nodiscard]] local_finding strongest_local(const entry_evidence& self);

} // namespace cyclamenhatch::moves
