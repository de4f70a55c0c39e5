#pragma once

#include "document/document.h"
#include "settings_generated.h"

namespace cyclamenhatch {

/// Checks settings whose keys and types are valid: required fields, addresses, ports and ranges.
/// Locations come from `source`, the document that the settings were read from.
[[nodiscard]] findings check_settings(const document& source, const msg::settings_msg& settings);

} // namespace cyclamenhatch
