#pragma once

#include "scenarios/cluster.h"
#include "scenarios/script.h"
#include "store/change.h"

namespace cyclamenhatch::scenarios {

/// Builds the change that a "write" command describes; `args` is the whole command. Throws
/// std::invalid_argument for an unknown kind of resource and std::out_of_range when an argument is
/// missing.
[[nodiscard]] store::change make_change(const cluster& sim, const words& args);

} // namespace cyclamenhatch::scenarios
