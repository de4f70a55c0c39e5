#pragma once

#include "call/quarantine_view.h"

#include <optional>

namespace cyclamenhatch::call {

/// How long the request is still held, rounded up; nothing while it may run. `view` may be null.
[[nodiscard]] std::optional<milliseconds> find_hold(const quarantine_view_ptr& view,
                                                    const request_digest& digest, instant now);

/// Crashes known of the request; 0 when it is no suspect. `view` may be null.
[[nodiscard]] std::uint32_t count_crashes(const quarantine_view_ptr& view,
                                          const request_digest& digest);

/// Whether an answer with this status shows that the upstream has run the request to its end. A
/// failure may have ended the run before the point at which it would crash.
[[nodiscard]] bool is_good_run(unsigned status);

/// Whether a call may be sent to another upstream after `broken_off` of them broke off under it.
/// `crashes` is the number of crashes known of its request.
[[nodiscard]] bool may_repeat(std::uint32_t broken_off, std::uint32_t crashes);

} // namespace cyclamenhatch::call
