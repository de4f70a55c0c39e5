#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhatch {

/// The candidate nearest to a misspelt name, or an empty string when none is near enough.
[[nodiscard]] std::string suggest_name(std::string_view name,
                                       const std::vector<std::string>& candidates);

/// The remedy of a finding about a misspelt name.
[[nodiscard]] std::string suggestion_remedy(std::string_view name);

} // namespace cyclamenhatch
