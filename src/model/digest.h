#pragma once

#include "model/ids.h"

#include <string_view>

namespace cyclamenhatch {

/// SHA-256 of the bytes. Thread safe.
[[nodiscard]] digest_id compute_digest(std::string_view bytes);

} // namespace cyclamenhatch
