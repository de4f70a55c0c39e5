#pragma once

#include "model/time.h"

#include <cstdint>

namespace cyclamenhatch::call {

/// Limit on the calls that run at an upstream at once: at most its slots, fewer while its latency
/// is well above its baseline. Additive increase, multiplicative decrease per window of samples.
struct concurrency_limit {
    /// Whether the limit follows the latency; otherwise it is the number of slots.
    bool is_adaptive = true;
    double limit = 1;
    std::uint32_t slots = 0;
    /// Estimated latency of the unloaded upstream; zero before the first window.
    double baseline_us = 0;
    /// Smoothed latency; zero before the first sample.
    double latency_us = 0;
    double window_sum_us = 0;
    std::uint32_t window_samples = 0;
    std::uint32_t window_overloads = 0;
    /// Most calls at once within the window.
    std::uint32_t window_peak = 0;
};

/// Sets the slots that the upstream announced. A changed number resets the limit to all of them.
void set_slots(concurrency_limit& state, std::uint32_t slots);

/// Records one answer. `is_overload` marks an answer by which the upstream shed load or ran out of
/// time. `in_flight` counts the call itself.
void note_sample(concurrency_limit& state, microseconds latency, bool is_overload,
                 std::uint32_t in_flight);

/// The limit in whole calls, at least one unless there are no slots.
[[nodiscard]] std::uint32_t current_limit(const concurrency_limit& state);

} // namespace cyclamenhatch::call
