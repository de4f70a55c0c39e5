#include "call/retry_budget.h"

namespace cyclamenhatch::call {
namespace {

constexpr int buckets_per_window = 10;
constexpr double all_percent = 100;

microseconds bucket_length(const budget_rules& rules) {
    return rules.window / buckets_per_window;
}

/// Returns the bucket of the current time; drops buckets that lie wholly before the window.
retry_budget::bucket& current_bucket(retry_budget& budget, const budget_rules& rules, instant now) {
    const auto length = bucket_length(rules);
    while (!budget.recent.empty() &&
           budget.recent.front().started_at + length <= now - rules.window) {
        budget.recent.pop_front();
    }
    if (budget.recent.empty() || now >= budget.recent.back().started_at + length) {
        budget.recent.push_back({.started_at = now});
    }
    return budget.recent.back();
}

} // namespace

void note_first_attempt(retry_budget& budget, const budget_rules& rules, instant now) {
    ++budget.first_attempts;
    ++current_bucket(budget, rules, now).calls;
}

bool has_retry(const retry_budget& budget, const budget_rules& rules, instant now) {
    std::uint64_t calls = 0;
    std::uint64_t retries = 0;
    for (const auto& bucket : budget.recent) {
        // A bucket that lies only partly in the window counts for its retries, not for its calls.
        const bool is_whole = bucket.started_at >= now - rules.window;
        const bool is_partial = bucket.started_at + bucket_length(rules) > now - rules.window;
        calls += is_whole ? bucket.calls : 0;
        retries += is_partial ? bucket.retries : 0;
    }
    const double allowed = static_cast<double>(calls) * rules.percent / all_percent + rules.slack;
    return static_cast<double>(retries) + 1 <= allowed;
}

bool spend_retry(retry_budget& budget, const budget_rules& rules, instant now) {
    if (!has_retry(budget, rules, now)) {
        ++budget.refused_retries;
        return false;
    }
    ++current_bucket(budget, rules, now).retries;
    ++budget.retries;
    return true;
}

} // namespace cyclamenhatch::call
