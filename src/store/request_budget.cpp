#include "store/request_budget.h"

#include <algorithm>

namespace cyclamenhatch::store {

token_bucket make_token_bucket(std::uint32_t rate_per_s, instant now) {
    const double rate = std::max<std::uint32_t>(rate_per_s, 1);
    return {.rate_per_s = rate, .tokens = rate, .filled = now};
}

bool has_token(token_bucket& bucket, instant now) {
    if (now > bucket.filled) {
        const double elapsed_s = std::chrono::duration<double>(now - bucket.filled).count();
        bucket.tokens = std::min(bucket.rate_per_s, bucket.tokens + elapsed_s * bucket.rate_per_s);
        bucket.filled = now;
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
    constexpr std::uint32_t most_doublings = 20;
    const auto doublings = std::min(std::max(failures, 1U) - 1, most_doublings);
    const auto full = std::min(limits.longest, milliseconds{limits.first.count() << doublings});
    std::uniform_int_distribution<std::int64_t> part(full.count() / 2, full.count());
    return milliseconds{part(random)};
}

} // namespace cyclamenhatch::store
