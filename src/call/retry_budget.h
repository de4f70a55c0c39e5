#pragma once

#include "model/time.h"

#include <cstdint>
#include <deque>

namespace cyclamenhatch::call {

/// How many retries may be made, against the calls of the same window.
struct budget_rules {
    /// Retries as a share of the calls.
    std::uint32_t percent = 10;
    microseconds window{10'000'000};
    /// Retries beyond the share; this node's part of what the whole fleet may make.
    double slack = 20;
};

/// Retries of one service's calls over a sliding window. Since each node keeps its own share of its
/// own calls, all nodes together keep the share of all calls. Not thread safe; the holder guards
/// it.
struct retry_budget {
    /// Counts of one tenth of a window.
    struct bucket {
        instant begun;
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
