#pragma once

#include "scenarios/cluster.h"
#include "scenarios/script.h"
#include "store/change.h"

namespace cyclamenhatch::scenarios {

/// The change that a "write" command asks for. Throws std::invalid_argument when it names no kind
/// of resource, and std::out_of_range when a word is missing.
[[nodiscard]] store::change make_change(const cluster& all, const words& at);

} // namespace cyclamenhatch::scenarios
