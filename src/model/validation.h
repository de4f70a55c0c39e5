#pragma once

#include "model/finding.h"
#include "model/resources.h"

#include <vector>

namespace cyclamenhatch {

/// All that is wrong with one section by itself: names, references, values, and moves that cannot
/// be. Paths are such as route[2].service, counted within the section.
[[nodiscard]] findings validate_section(const section& part);

/// All that is wrong with a configuration: each section by itself, and duplicates across them.
/// Paths start with the service's name.
[[nodiscard]] findings validate_sections(const std::vector<const section*>& parts);

} // namespace cyclamenhatch
