#pragma once

#include "model/time.h"

#include <cstdint>

/// Limits shared by observation and decision.
namespace cyclamenhatch::moves {

/// Evidence above which no stage is entered before its latest start.
inline constexpr double early_level = 3;
/// Share at which the versions are compared side by side.
inline constexpr std::uint32_t check_permille = 500;
/// Time for which calls to a dead endpoint may fail before the loss is known here.
inline constexpr milliseconds loss_detection_time{5000};
/// Time in which a new controller receives the first, cumulative reports and so the evidence that
/// its predecessors had.
inline constexpr seconds catch_up_time{3};

} // namespace cyclamenhatch::moves
