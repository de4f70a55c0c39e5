#pragma once

#include "model/request_digest.h"
#include "model/time.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace cyclamenhatch::call {

/// A request under which upstreams have crashed.
struct suspect {
    /// Crashes that no later good run has cleared; at least 1.
    std::uint32_t crashes = 0;
    /// Until then the request is not sent to any upstream; instant::min() while it is not held.
    instant held_until = instant::min();
};

/// What the call path knows of suspects. Immutable; replaced as a whole and shared between threads.
using quarantine_view = std::unordered_map<request_digest, suspect>;
using quarantine_view_ptr = std::shared_ptr<const quarantine_view>;

/// The suspect with this digest, or null. `view` may be null.
[[nodiscard]] inline const suspect* find_suspect(const quarantine_view_ptr& view,
                                                 const request_digest& digest) {
    if (!view) {
        return nullptr;
    }
    const auto it = view->find(digest);
    return it == view->end() ? nullptr : &it->second;
}

} // namespace cyclamenhatch::call
