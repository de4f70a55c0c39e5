#pragma once

#include "membership/membership.h"

#include <vector>

/// Finds out which members have died: one probe per interval, indirect probes, suspicion.
namespace cyclamenhatch::membership {

/// Times out probes, starts the next one, lets suspicions run out, forgets tombstones.
void tick_probes(table& state, instant now, random_source& random, std::vector<outgoing>& sends);

/// Answers a probe, or passes it on to its target.
void answer_probe(table& state, const node_id& from, const msg::probe_msg& probe, instant now,
                  std::vector<outgoing>& sends);

/// Ends the probe in flight that the answer belongs to, or passes the answer on to its asker.
void settle_probe(table& state, const node_id& from, const msg::probe_ack_msg& answer,
                  std::vector<outgoing>& sends);

/// A probe of a member from which nothing follows when it stays without answer; tells the member
/// what is believed of it.
[[nodiscard]] outgoing make_free_probe(table& state, const node_id& to);

/// Drops what was in flight and restarts suspicions, as after a pause of this process.
void reset_probes(table& state, instant now);

} // namespace cyclamenhatch::membership
