#pragma once

#include "distribution/distribution.h"

namespace cyclamenhatch::distribution {

/// What every part of one step of a node needs besides its state.
struct step {
    const membership::table& members;
    instant now;
    random_source& random;
    actions& wanted;
};

/// A uniformly random time below the limit.
[[nodiscard]] inline milliseconds jitter(random_source& random, milliseconds limit) {
    const auto bound = static_cast<std::uint64_t>(limit.count());
    return milliseconds{static_cast<std::int64_t>(bound == 0 ? 0 : random() % bound)};
}

} // namespace cyclamenhatch::distribution
