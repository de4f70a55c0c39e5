#include "call/returning_caller.h"

namespace cyclamenhatch::call {
namespace {

/// Callers of one route wait for similar times: a first attempt has at least this share of the
/// longest time left, and a call with less is a retry.
constexpr double first_attempt_share = 0.8;
/// Mean time left of a first attempt, as a share of the longest time.
constexpr double mean_share = 0.9;

microseconds scale(microseconds time, double factor) {
    return microseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace

microseconds estimate_time_spent(stated_times_table& times_by_route, const route_id& route,
                                 microseconds left, bool is_first_on_connection, instant now) {
    auto& times = times_by_route[route];
    note(times, left, now);
    const auto longest = longest_of(times);
    if (!is_first_on_connection || left >= scale(longest, first_attempt_share)) {
        return microseconds{0};
    }
    return scale(longest, mean_share) - left;
}

void forget_idle(stated_times_table& times_by_route, instant now) {
    std::erase_if(times_by_route, [&](const auto& entry) { return is_stale(entry.second, now); });
}

} // namespace cyclamenhatch::call
