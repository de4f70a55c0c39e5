#pragma once

#include "model/finding.h"
#include "model/resources.h"

#include <string_view>
#include <vector>

namespace cyclamenhatch {

/// Whether the text can name a resource: 1 to 128 letters, digits, '-', '_' or '.'.
[[nodiscard]] bool is_name(std::string_view text);

/// Checks one section: names, references, values and impossible moves. Paths, such as
/// route[2].service, count within the section.
[[nodiscard]] findings validate_section(const section& content);

/// Checks a configuration: each section, the services that splits name, and duplicates across
/// sections. Paths start with the service's name.
[[nodiscard]] findings validate_sections(const std::vector<const section*>& sections);

} // namespace cyclamenhatch
