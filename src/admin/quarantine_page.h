#pragma once

#include "admin/api.h"

namespace cyclamenhatch::admin {

/// Whether the path is /v1/quarantine or below it.
[[nodiscard]] bool is_quarantine_path(const api_request& request);

/// Lists suspected and held requests, or lifts the hold of the one that the path names. Thread
/// safe.
[[nodiscard]] api_response handle_quarantine(const api_context& context,
                                             const api_request& request);

} // namespace cyclamenhatch::admin
