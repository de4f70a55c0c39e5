#include "call/held_request.h"

namespace cyclamenhatch::call {
namespace {

/// Upstreams that one call may take with it, and crashes of its request after which it is not
/// repeated at all.
constexpr std::uint32_t max_broken_off = 2;
constexpr std::uint32_t max_crashes = 2;

} // namespace

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

bool may_repeat(std::uint32_t broken_off, std::uint32_t crashes) {
    return broken_off == 0 || (broken_off < max_broken_off && crashes < max_crashes);
}

} // namespace cyclamenhatch::call
