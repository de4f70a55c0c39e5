#pragma once

#include "distribution/distribution.h"

namespace cyclamenhatch::distribution {

/// The inputs and outputs of one tick or message, besides the state of the node.
struct step_context {
    const membership::table& members;
    instant now;
    random_source& random;
    actions& out;
};

/// A uniformly random time in [0, limit); 0 when the limit is 0.
[[nodiscard]] inline milliseconds jitter(random_source& random, milliseconds limit) {
    const auto bound = static_cast<std::uint64_t>(limit.count());
    return milliseconds{static_cast<std::int64_t>(bound == 0 ? 0 : random() % bound)};
}

} // namespace cyclamenhatch::distribution
