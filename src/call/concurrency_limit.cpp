#include "call/concurrency_limit.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

constexpr std::uint32_t samples_per_window = 32;
/// A window this many times slower than the baseline lowers the limit.
constexpr double slow_factor = 2.0;
/// A window with a lower mean is never slow: scheduling noise on a busy host is this large.
constexpr double min_slow_us = 5'000;
constexpr double decrease = 0.9;
constexpr double overload_decrease = 0.7;
/// Share of overload answers in a window that lowers the limit.
constexpr double overload_share = 0.1;
/// Share by which the baseline moves per window towards an upstream that stays slower.
constexpr double baseline_drift = 0.02;
constexpr double smoothing = 0.1;
/// Lowest limit as a share of the slots: with fewer calls a recovered upstream could not show it.
constexpr double min_share = 0.25;
/// The limit grows only while it is nearly used up.
constexpr double used_share = 0.7;

void close_window(concurrency_limit& state) {
    const double mean = state.window_sum_us / state.window_samples;
    const double overloads = static_cast<double>(state.window_overloads) / state.window_samples;
    if (state.baseline_us == 0 || mean < state.baseline_us) {
        state.baseline_us = mean;
    } else {
        state.baseline_us += (mean - state.baseline_us) * baseline_drift;
    }
    const double slow = std::max(min_slow_us, slow_factor * state.baseline_us);
    if (!state.is_adaptive) {
        state.limit = state.slots;
    } else if (overloads >= overload_share) {
        state.limit *= overload_decrease;
    } else if (mean > slow) {
        state.limit *= decrease;
    } else if (state.window_peak >= used_share * state.limit) {
        state.limit += 1;
    }
    const auto slots = static_cast<double>(state.slots);
    state.limit = std::clamp(state.limit, std::max(1.0, slots * min_share), std::max(1.0, slots));
    state.window_sum_us = 0;
    state.window_samples = 0;
    state.window_overloads = 0;
    state.window_peak = 0;
}

} // namespace

void set_slots(concurrency_limit& state, std::uint32_t slots) {
    if (state.slots != slots) {
        state.slots = slots;
        state.limit = std::max(1U, slots);
    }
}

void note_sample(concurrency_limit& state, microseconds latency, bool is_overload,
                 std::uint32_t in_flight) {
    const auto sample = static_cast<double>(latency.count());
    state.latency_us =
        state.latency_us == 0 ? sample : state.latency_us + (sample - state.latency_us) * smoothing;
    state.window_sum_us += sample;
    state.window_overloads += is_overload ? 1 : 0;
    state.window_peak = std::max(state.window_peak, in_flight);
    if (++state.window_samples >= samples_per_window) {
        close_window(state);
    }
}

std::uint32_t current_limit(const concurrency_limit& state) {
    return state.slots == 0 ? 0 : static_cast<std::uint32_t>(state.limit);
}

} // namespace cyclamenhatch::call
