#pragma once

#include "model/finding.h"
#include "model/resources.h"
#include "model/time.h"

#include <cstdint>
#include <vector>

namespace cyclamenhatch::moves {

/// One stage of a ramp.
struct stage {
    std::uint32_t permille = 0;
    /// Latest time to enter the stage so that the deadline is kept.
    instant latest_start;
};

/// The ramp of one move, scheduled backwards from its deadline.
struct plan {
    std::vector<stage> stages;
    /// Latest time at which the bake may begin.
    instant bake_start;
};

/// Findings when the deadline leaves no time, as of `now`.
[[nodiscard]] result<plan> make_plan(const move& planned, instant now);

} // namespace cyclamenhatch::moves
