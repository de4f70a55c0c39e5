#pragma once

#include "model/time.h"

#include <cstdint>

/// Limits that observing and deciding share.
namespace cyclamenhatch::moves {

/// Evidence above which no stage is entered before its latest start.
inline constexpr double early_level = 3;
/// Share at which the versions are compared side by side.
inline constexpr std::uint32_t check_permille = 500;
/// Endpoints that die fail calls for up to this time until their death is known...
inline constexpr milliseconds death_time{5000};
/// A controller that begins takes over what its predecessors knew, in the first reports it gets.
inline constexpr seconds catch_up_time{3};

} // namespace cyclamenhatch::moves
