#include "call/held_request.h"

namespace cyclamenhatch::call {

std::optional<milliseconds> find_hold(const quarantine_view_ptr& view, const request_digest& digest,
                                      instant now) {
    const auto* found = find_suspect(view, digest);
    if (found == nullptr || found->held_until <= now) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(found->held_until - now);
}

std::uint32_t count_crashes(const quarantine_view_ptr& view, const request_digest& digest) {
    const auto* found = find_suspect(view, digest);
    return found == nullptr ? 0 : found->crashes;
}

} // namespace cyclamenhatch::call
