#pragma once

#include "model/random.h"
#include "model/time.h"

#include <cstdint>

/// Keeps one node's use of the key-value service within its rates, and paces retries.
namespace cyclamenhatch::store {

/// Allows `rate_per_s` requests a second on average and a second's worth at once.
struct token_bucket {
    double rate_per_s = 1;
    double tokens = 1;
    instant filled;
};

[[nodiscard]] token_bucket make_token_bucket(std::uint32_t rate_per_s, instant now);

/// Whether a token could be taken now.
[[nodiscard]] bool has_token(token_bucket& bucket, instant now);

/// Takes one token; false when there is none.
[[nodiscard]] bool try_take(token_bucket& bucket, instant now);

/// Bounds of an exponential backoff.
struct backoff_limits {
    milliseconds first{100};
    milliseconds longest{5000};
};

/// Delay before the next attempt after `failures` in a row (1 or more): doubles with each, with
/// half of it random, so that nodes which failed together do not return together.
[[nodiscard]] milliseconds backoff_delay(const backoff_limits& limits, std::uint32_t failures,
                                         random_source& random);

} // namespace cyclamenhatch::store
