#pragma once

#include "model/time.h"

#include <cstddef>
#include <optional>

/// Limits the rate at which calls start at an upstream to the rate that the upstream states.
namespace cyclamenhatch::call {

/// Lowest rate that is applied, in calls a second: an upstream that states less still gets a call
/// now and then, since only an answer can lift the limit.
inline constexpr double min_calls_per_s = 0.25;
/// Higher stated rates count as this one.
inline constexpr double max_calls_per_s = 1e6;

/// A token bucket. Not thread safe; the caller serialises access.
struct rate_limit {
    /// Calls a second; nothing while the upstream states no limit.
    std::optional<double> calls_per_s;
    /// Starts that are due, as of `counted_at`.
    double tokens = 0;
    instant counted_at{};
    /// When an answer last stated the limit.
    instant stated_at{};
    /// An answer of this run of the upstream was seen, so that the limit, or that there is none, is
    /// known first-hand.
    bool is_confirmed = false;
};

/// Sets the rate; nothing lifts the limit. Tokens that are left are kept up to the new burst.
void set_rate(rate_limit& limit, std::optional<double> calls_per_s, instant now);

/// Whether a call may start now.
[[nodiscard]] bool may_start(const rate_limit& limit, instant now);

/// Records the start of a call.
void note_start(rate_limit& limit, instant now);

/// Time until a call may start that has `calls_ahead` others before it.
[[nodiscard]] microseconds wait_for_start(const rate_limit& limit, std::size_t calls_ahead,
                                          instant now);

} // namespace cyclamenhatch::call
