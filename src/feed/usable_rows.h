#pragma once

#include "model/finding.h"
#include "model/resources.h"

#include <vector>

/// What operators write in a format of their own is judged row by row: a row that can't be used
/// must not keep the others, or what is written later, from taking effect.
namespace cyclamenhatch::feed {

/// Removes services that bear the name of the fleet section. Returns a finding for each of them.
[[nodiscard]] findings remove_reserved(std::vector<section>& sections);

/// Removes the routes, versions, moves and services that the findings of build_snapshot() name, and
/// whatever then refers to none. Returns a finding for each of them. Workspaces are never removed:
/// without those that hold the keys, requests would be counted for others.
[[nodiscard]] findings remove_unusable(std::vector<section>& sections);

} // namespace cyclamenhatch::feed
