#pragma once

#include "document/document.h"
#include "settings_generated.h"

namespace cyclamenhatch {

/// All that is wrong with settings whose keys and types are right: required fields, addresses,
/// ports and ranges. Places come from the document that the settings were read from.
[[nodiscard]] findings check_settings(const document& from, const msg::settings_msg& read);

} // namespace cyclamenhatch
