#pragma once

#include "document/document.h"
#include "move/move_table.h"

#include <vector>

namespace cyclamenhatch::admin {

/// The fields of an ending: outcome, reason, times, and counts of calls and errors.
[[nodiscard]] document::table describe_ending(const move_ending& ending);

/// The progress of each move, as this node knows it.
[[nodiscard]] document describe_moves(const std::vector<moves::move_status>& statuses);

} // namespace cyclamenhatch::admin
