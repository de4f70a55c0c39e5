#include "call/upstream_pace.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

/// Statements outside of this range count as its ends: a wrong figure must not close an upstream.
constexpr std::uint64_t least_percent = 10;
constexpr std::uint64_t most_percent = 1000;

double factor_of(std::uint32_t percent) {
    return static_cast<double>(percent) / usual_pace_percent;
}

microseconds scale(microseconds duration, double factor) {
    return microseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace

upstream_pace make_pace(std::uint64_t percent, instant now) {
    const auto bounded = std::clamp(percent, least_percent, most_percent);
    return {.percent = static_cast<std::uint32_t>(bounded), .stated_at = now};
}

std::uint32_t pace_percent_at(const upstream_pace& pace, instant now) {
    return now - pace.stated_at < pace_lifetime ? pace.percent : usual_pace_percent;
}

microseconds stretch(const upstream_pace& pace, microseconds usual_time, instant now) {
    const auto lasts = pace_lifetime - (now - pace.stated_at);
    if (pace.percent == usual_pace_percent || lasts.count() <= 0) {
        return usual_time;
    }
    const auto factor = factor_of(pace.percent);
    const auto covered = scale(lasts, 1 / factor);
    return usual_time <= covered ? scale(usual_time, factor) : lasts + (usual_time - covered);
}

microseconds to_usual_time(microseconds duration, std::uint32_t first_percent,
                           std::uint32_t last_percent) {
    if (first_percent == usual_pace_percent && last_percent == usual_pace_percent) {
        return duration;
    }
    return scale(duration, (1 / factor_of(first_percent) + 1 / factor_of(last_percent)) / 2);
}

} // namespace cyclamenhatch::call
