#include "call/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace cyclamenhatch::call {
namespace {

/// Time whose starts may be made at once, after a time without calls.
constexpr double burst_s = 0.25;
constexpr double us_per_s = 1e6;

double burst_of(double calls_per_s) {
    return std::max(1.0, calls_per_s * burst_s);
}

/// Tokens at this time. Precondition: a limit is set.
double tokens_at(const rate_limit& limit, instant now) {
    const auto elapsed = static_cast<double>((now - limit.counted_at).count()) / us_per_s;
    const auto gained = std::max(0.0, elapsed) * *limit.calls_per_s;
    return std::min(burst_of(*limit.calls_per_s), limit.tokens + gained);
}

} // namespace

void set_rate(rate_limit& limit, std::optional<double> calls_per_s, instant now) {
    if (!calls_per_s) {
        limit.calls_per_s.reset();
        return;
    }
    const auto rate = std::clamp(*calls_per_s, min_calls_per_s, max_calls_per_s);
    limit.tokens = limit.calls_per_s ? std::min(tokens_at(limit, now), burst_of(rate)) : 1.0;
    limit.counted_at = now;
    limit.calls_per_s = rate;
}

bool may_start(const rate_limit& limit, instant now) {
    return wait_for_start(limit, 0, now).count() == 0;
}

void note_start(rate_limit& limit, instant now) {
    if (limit.calls_per_s) {
        limit.tokens = tokens_at(limit, now) - 1;
        limit.counted_at = now;
    }
}

microseconds wait_for_start(const rate_limit& limit, std::size_t calls_ahead, instant now) {
    if (!limit.calls_per_s) {
        return microseconds{0};
    }
    const auto missing = static_cast<double>(calls_ahead) + 1 - tokens_at(limit, now);
    const auto wait_us = missing / *limit.calls_per_s * us_per_s;
    return microseconds(static_cast<std::int64_t>(std::max(0.0, std::ceil(wait_us))));
}

} // namespace cyclamenhatch::call
