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

} // namespace cyclamenhatch::call
