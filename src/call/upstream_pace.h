#pragma once

#include "model/time.h"

#include <cstdint>

/// How long work takes at an upstream now, compared with its usual time, as the upstream states it.
/// Pure functions.
///
/// The load that this answers: upstreams share their hosts with others and take several times as
/// long for fractions of a second, again and again.
namespace cyclamenhatch::call {

/// Time for which a stated pace is taken to last. Work beyond it takes the usual time.
inline constexpr microseconds pace_lifetime{400'000};
inline constexpr std::uint32_t usual_pace_percent = 100;

struct upstream_pace {
    /// Percent of the usual time that work takes; 100 when nothing is stated.
    std::uint32_t percent = usual_pace_percent;
    instant stated_at{};
};

/// A statement of an upstream at this time. Out of range values are moved to the nearest in range.
[[nodiscard]] upstream_pace make_pace(std::uint64_t percent, instant now);

/// The pace in percent that is known to hold now; 100 once the statement is too old.
[[nodiscard]] std::uint32_t pace_percent_at(const upstream_pace& pace, instant now);

/// How long work takes that begins now and usually takes this long. The older the statement, the
/// less of the work it covers.
[[nodiscard]] microseconds stretch(const upstream_pace& pace, microseconds usual_time, instant now);

/// How long work usually takes that took this long, between these two paces in percent.
[[nodiscard]] microseconds to_usual_time(microseconds duration, std::uint32_t first_percent,
                                         std::uint32_t last_percent);

} // namespace cyclamenhatch::call
