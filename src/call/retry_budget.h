#pragma once

#include "model/time.h"

#include <cstdint>
#include <deque>

namespace cyclamenhatch::call {

/// Bounds on the retries in a window, relative to the calls in it.
struct budget_rules {
    /// Retries as a share of the calls.
    std::uint32_t percent = 10;
    microseconds window{10'000'000};
    /// Retries allowed beyond the share; this node's part of the fleet's allowance.
    double slack = 20;
};

/// Retries of one service's calls over a sliding window. Each node keeps to the share for its own
/// calls, so all nodes together keep to it for all calls. Not thread safe; the caller serialises
/// access.
struct retry_budget {
    /// Counts of one tenth of a window.
    struct bucket {
        instant started_at;
        std::uint64_t calls = 0;
        std::uint64_t retries = 0;
    };
    /// Oldest first; bounded by the window.
    std::deque<bucket> recent;
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t refused_retries = 0;
};

/// Counts a call.
void note_first_attempt(retry_budget& budget, const budget_rules& rules, instant now);

/// Whether one more retry is within the rules; counts nothing.
[[nodiscard]] bool has_retry(const retry_budget& budget, const budget_rules& rules, instant now);

/// Counts a retry when it is within the rules; false when it is not.
[[nodiscard]] bool spend_retry(retry_budget& budget, const budget_rules& rules, instant now);

} // namespace cyclamenhatch::call
