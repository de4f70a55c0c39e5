#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhatch {

/// The name that was probably meant, or an empty string when none is near.
[[nodiscard]] std::string suggest_name(std::string_view written,
                                       const std::vector<std::string>& known);

/// The remedy for a misspelt name.
[[nodiscard]] std::string suggestion_remedy(std::string_view name);

} // namespace cyclamenhatch
