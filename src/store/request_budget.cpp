#include "store/request_budget.h"

#include <algorithm>

namespace cyclamenhatch::store {

token_bucket make_token_bucket(std::uint32_t rate_per_s, instant now) {
    const double rate = std::max<std::uint32_t>(rate_per_s, 1);
    return {.rate_per_s = rate, .tokens = rate, .filled_at = now};
}

bool has_token(token_bucket& bucket, instant now) {
    if (now > bucket.filled_at) {
        const double elapsed_s = std::chrono::duration<double>(now - bucket.filled_at).count();
        bucket.tokens = std::min(bucket.rate_per_s, bucket.tokens + elapsed_s * bucket.rate_per_s);
        bucket.filled_at = now;
    }
    return bucket.tokens >= 1;
}

bool try_take(token_bucket& bucket, instant now) {
    if (!has_token(bucket, now)) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

milliseconds backoff_delay(const backoff_limits& limits, std::uint32_t failures,
                           random_source& random) {
    constexpr std::uint32_t max_doublings = 20;
    const auto doublings = std::min(std::max(failures, 1U) - 1, max_doublings);
    const auto longest_delay =
        std::min(limits.longest, milliseconds{limits.first.count() << doublings});
    std::uniform_int_distribution<std::int64_t> distribution(longest_delay.count() / 2,
                                                             longest_delay.count());
    return milliseconds{distribution(random)};
}

} // namespace cyclamenhatch::store
