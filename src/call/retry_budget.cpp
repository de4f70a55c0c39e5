#include "call/retry_budget.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

constexpr std::uint64_t millitokens_per_retry = 1000;
constexpr std::uint64_t millitokens_per_percent = 10;
/// Bounds a burst of retries after a quiet time.
constexpr std::uint64_t max_millitokens = 20'000;

} // namespace

void note_first_attempt(retry_budget& budget, std::uint32_t percent) {
    ++budget.first_attempts;
    budget.millitokens =
        std::min(max_millitokens, budget.millitokens + percent * millitokens_per_percent);
}

bool spend_retry(retry_budget& budget) {
    if (budget.millitokens < millitokens_per_retry) {
        ++budget.refused_retries;
        return false;
    }
    budget.millitokens -= millitokens_per_retry;
    ++budget.retries;
    return true;
}

} // namespace cyclamenhatch::call
