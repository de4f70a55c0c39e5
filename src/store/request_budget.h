#pragma once

#include "model/random.h"
#include "model/time.h"

#include <cstdint>

/// Limits the rate of one node's requests to the key-value service, and delays retries.
namespace cyclamenhatch::store {

/// Allows `rate_per_s` requests a second on average, and bursts of as many.
struct token_bucket {
    double rate_per_s = 1;
    double tokens = 1;
    instant filled_at;
};

[[nodiscard]] token_bucket make_token_bucket(std::uint32_t rate_per_s, instant now);

/// Refills the bucket up to `now`. Whether a token is available.
[[nodiscard]] bool has_token(token_bucket& bucket, instant now);

/// Takes one token; false when there is none.
[[nodiscard]] bool try_take(token_bucket& bucket, instant now);

/// Bounds of an exponential backoff.
struct backoff_limits {
    milliseconds first{100};
    milliseconds longest{5000};
};

/// Delay before the next attempt after `failures` consecutive failures (1 or more). It doubles with
/// each, and half of it is random, so that nodes which failed together do not retry together.
[[nodiscard]] milliseconds backoff_delay(const backoff_limits& limits, std::uint32_t failures,
                                         random_source& random);

} // namespace cyclamenhatch::store
