#include "call/recent_longest.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

constexpr microseconds window{10'000'000};

} // namespace

void note(recent_longest& times, microseconds time, instant now) {
    if (now - times.window_start > window) {
        times.longest_before = is_stale(times, now) ? microseconds{0} : times.longest;
        times.longest = microseconds{0};
        times.window_start = now;
    }
    times.longest = std::max(times.longest, time);
}

microseconds longest_of(const recent_longest& times) {
    return std::max(times.longest, times.longest_before);
}

bool is_stale(const recent_longest& times, instant now) {
    return now - times.window_start > 2 * window;
}

} // namespace cyclamenhatch::call
