#pragma once

#include "model/finding.h"
#include "model/resources.h"
#include "model/time.h"

#include <string_view>
#include <vector>

namespace cyclamenhatch {

/// Whether the text can name a resource: 1 to 128 letters, digits, '-', '_' or '.'.
[[nodiscard]] bool is_name(std::string_view text);

/// The longest timeout that a route may have.
constexpr milliseconds max_route_timeout{3'600'000};

/// How the names of resources are checked. Service names are never "*", which is the fleet section.
enum class name_rule {
    /// As is_name() says: for what operators write in this product's own format.
    strict,
    /// 1 to 256 bytes without control characters: for names that were chosen elsewhere and stand
    /// for
    /// themselves.
    opaque
};

/// Checks one section: names, references, values and impossible moves. Paths, such as
/// route[2].service, count within the section.
[[nodiscard]] findings validate_section(const section& content,
                                        name_rule names = name_rule::strict);

/// Checks a configuration: each section, the services that splits name, and duplicates across
/// sections. Paths start with the service's name.
[[nodiscard]] findings validate_sections(const std::vector<const section*>& sections,
                                         name_rule names = name_rule::strict);

} // namespace cyclamenhatch
