#pragma once

#include "admin/backend.h"

namespace cyclamenhatch::admin {

/// Reads what an upstream announces: service, version, state, slots and port. All findings are
/// collected.
[[nodiscard]] result<announcement> read_announcement(const document& from);

} // namespace cyclamenhatch::admin
