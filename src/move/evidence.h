#pragma once

#include "call/call_sample.h"
#include "model/ids.h"
#include "model/time.h"
#include "move/verdict.h"

#include <array>
#include <cstdint>
#include <map>

/// Evidence on the two versions of a move from the calls through one entry. Pure functions; times
/// are arguments.
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

/// Recent calls of the old version, with exponentially decaying weight.
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
    /// Calls that the reference `earlier` compares with.
    recent_calls earlier;
    /// The last calls of the old version, to follow a sudden change that affects both versions.
    window_counts latest;
    /// Calls of the old version in the open window, to be added to `earlier`.
    recent_calls old_in_window;
    /// First latency bucket that counts as slow, and as very slow; none until enough calls of the
    /// old version were seen.
    std::size_t slow_bucket = latency_buckets;
    std::size_t very_slow_bucket = latency_buckets;
    /// This entry's own accumulated evidence of the closed windows, per measure.
    std::array<detector, measure_count> local = make_detectors();
};

/// Evidence of one move at this entry.
struct entry_evidence {
    instant begun;
    std::map<route_id, route_record> routes;
    /// Share in force while the open windows were filled.
    std::uint32_t permille = 0;
    /// Calls that end before this time may have begun at a larger share and are left out.
    instant settled_at;
};

/// Counts one call that ended at `now` on the new or on the old version.
void add_sample(entry_evidence& self, const call::call_sample& sample, bool is_new, instant now);

/// Closes windows that hold calls of both versions, or all of them when the share in force here has
/// changed, since a window's calls must have been divided at one share.
void close_windows(entry_evidence& self, std::uint32_t permille, instant now);

/// The route on which this entry's own evidence against the new version is strongest.
struct local_finding {
    route_id route;
    measure kind = measure::errors;
    /// Evidence of the closed windows, each limited so that one burst of errors does not suffice.
    double sustained = 0;
    /// Includes the open window, without a limit: for a temporary reaction only, not for a veto.
    double with_open_window = 0;
};

[[nodiscard]] local_finding strongest_local(const entry_evidence& self);

} // namespace cyclamenhatch::moves
