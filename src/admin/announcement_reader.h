#pragma once

#include "admin/backend.h"

namespace cyclamenhatch::admin {

/// Reads an upstream's announcement: service, version, state, slots and port. Returns the findings
/// when it is invalid.
[[nodiscard]] result<announcement> read_announcement(const document& body);

} // namespace cyclamenhatch::admin
