#pragma once

#include "document/document.h"
#include "move/move_table.h"

#include <vector>

namespace cyclamenhatch::admin {

/// The fields of an ending: outcome, reason, times and figures.
[[nodiscard]] document::table describe_ending(const move_ending& from);

/// How each move goes, as this node knows it.
[[nodiscard]] document describe_moves(const std::vector<moves::move_status>& from);

} // namespace cyclamenhatch::admin
