#pragma once

#include "distribution/step.h"

/// The comparison with several members, or with the store, that comes before calls are taken.
namespace cyclamenhatch::distribution {

/// Starts over: nothing counts as compared.
void start_refresh(state& self, instant now);

/// Notes that what a member holds has been compared and is not newer than what is held here.
void note_compared(state& self, const node_id& with);

/// Ends the refresh once enough has been compared.
void tick_refresh(state& self, const step& now);

} // namespace cyclamenhatch::distribution
