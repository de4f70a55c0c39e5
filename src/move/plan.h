#pragma once

#include "model/finding.h"
#include "model/resources.h"
#include "model/time.h"

#include <cstdint>
#include <vector>

namespace cyclamenhatch::moves {

inline constexpr std::uint32_t full_share_permille = 1000;
/// Time between the bake and the deadline, reserved for the closing record.
inline constexpr milliseconds closing_margin{3000};
/// Shortest useful time in one stage: the evidence of at least one report has to arrive.
inline constexpr milliseconds min_stage_time{2000};

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

/// Plans the ramp as of `now`. Returns findings when the deadline leaves too little time.
[[nodiscard]] result<plan> make_plan(const move& planned, instant now);

/// The shares of a ramp in order; the last is full_share_permille.
[[nodiscard]] std::vector<std::uint32_t> list_shares(std::uint32_t first_permille);

/// Latest time to reach the full share so that the bake ends before the deadline.
[[nodiscard]] instant latest_bake_start(const move& planned);

/// The stages above `permille`, spread evenly over the time from `entered` to the latest start of
/// the bake, less a reserve for a check. Empty at the full share.
[[nodiscard]] std::vector<stage> schedule_after(const move& planned, std::uint32_t permille,
                                                instant entered);

} // namespace cyclamenhatch::moves
