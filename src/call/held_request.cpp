#include "call/held_request.h"

namespace cyclamenhatch::call {
namespace {

/// Upstreams that may break off under one call, and crashes of its request after which it is not
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

bool is_good_run(unsigned status) {
    constexpr unsigned request_timeout = 408;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned first_server_error = 500;
    return status < first_server_error && status != request_timeout && status != too_many_requests;
}

bool may_repeat(std::uint32_t broken_off, std::uint32_t crashes) {
    return broken_off == 0 || (broken_off < max_broken_off && crashes < max_crashes);
}

} // namespace cyclamenhatch::call
