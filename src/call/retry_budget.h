#pragma once

#include "model/time.h"

#include <cstdint>

namespace cyclamenhatch::call {

/// Retries of one service's calls as a token bucket: each first attempt earns a share of a token,
/// each retry spends one. Not thread safe; the holder guards it.
struct retry_budget {
    /// Tokens in thousandths, so that earning is exact.
    std::uint64_t millitokens = 10'000;
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t refused_retries = 0;
};

/// Earns `percent` of a token for a first attempt.
void note_first_attempt(retry_budget& budget, std::uint32_t percent);

/// Spends one token; false when there is none.
[[nodiscard]] bool spend_retry(retry_budget& budget);

} // namespace cyclamenhatch::call
