#include "call/returning_caller.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

constexpr microseconds window{10'000'000};
/// Callers of one route wait about as long as each other, first attempts within this share of the
/// longest time; one with less left has been here before.
constexpr double first_attempt_share = 0.8;
/// What a first attempt has left on average, as a share of the longest time.
constexpr double mean_share = 0.9;

microseconds scale(microseconds time, double by) {
    return microseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * by));
}

} // namespace

microseconds estimate_spent(stated_times_table& known, const route_id& route, microseconds left,
                            bool is_first_on_connection, instant now) {
    auto& times = known[route];
    if (now - times.window_begun > window) {
        const bool is_recent = now - times.window_begun <= 2 * window;
        times.longest_before = is_recent ? times.longest : microseconds{0};
        times.longest = microseconds{0};
        times.window_begun = now;
    }
    times.longest = std::max(times.longest, left);
    const auto longest = std::max(times.longest, times.longest_before);
    if (!is_first_on_connection || left >= scale(longest, first_attempt_share)) {
        return microseconds{0};
    }
    return scale(longest, mean_share) - left;
}

void forget_idle(stated_times_table& known, instant now) {
    std::erase_if(known,
                  [&](const auto& each) { return now - each.second.window_begun > 2 * window; });
}

} // namespace cyclamenhatch::call
