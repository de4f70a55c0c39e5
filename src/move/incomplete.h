#pragma once

#include "move/controller.h"

/// Moves whose evidence has not been read as a whole, since it exceeds what a message or a node may
/// hold.
namespace cyclamenhatch::moves {

/// Decides on a move whose evidence is incomplete and shows no fault: its share stays, and it is
/// taken back at `give_up_at`, since a fault may show in what was not read.
[[nodiscard]] decision decide_incomplete(control_state& self, const control_facts& facts,
                                         instant give_up_at, instant now);

} // namespace cyclamenhatch::moves
