#pragma once

#include "membership/membership.h"

#include <vector>

/// Detects dead members by one probe per interval, indirect probes and suspicion.
namespace cyclamenhatch::membership {

/// Times out probes, sends the next one, declares members dead and forgets tombstones.
void tick_probes(table& state, instant now, random_source& random, std::vector<outgoing>& sends);

/// Answers a probe, or forwards it to its target.
void answer_probe(table& state, const node_id& sender, const msg::probe_msg& probe, instant now,
                  std::vector<outgoing>& sends);

/// Ends the probe in flight that the answer belongs to, or forwards the answer to the member that
/// asked for the probe.
void settle_probe(table& state, const node_id& sender, const msg::probe_ack_msg& answer,
                  std::vector<outgoing>& sends);

/// A probe whose missing answer has no effect. It carries the record of the member if that is not
/// alive, so that the member can refute it.
[[nodiscard]] outgoing make_untracked_probe(table& state, const node_id& receiver);

/// Drops probes in flight and restarts suspicion timers. Call after a pause of this process.
void reset_probes(table& state, instant now);

} // namespace cyclamenhatch::membership
