#pragma once

#include "distribution/step.h"

/// Compares the held configuration with several members or the store before the node takes calls.
namespace cyclamenhatch::distribution {

/// Starts a refresh: discards earlier comparisons and any pull in flight.
void start_refresh(state& self, instant now);

/// Records that the configuration of a member was compared and is not newer than the held one.
void note_compared(state& self, const node_id& member);

/// Ends the refresh once enough members, or the store, have been compared.
void tick_refresh(state& self, const step_context& context);

} // namespace cyclamenhatch::distribution
