#pragma once

#include "distribution/step.h"

/// Notices, pulls, deltas and snapshots between members.
namespace cyclamenhatch::distribution {

/// Sends the periodic notice and the pull that is due.
void tick_exchange(state& self, const step& now);

void on_notice(state& self, const node_id& from, const msg::config_notice_msg& notice,
               const step& now);
void on_delta(state& self, const node_id& from, const msg::config_delta_msg& delta,
              const step& now);
void on_pull(state& self, const node_id& from, const msg::config_pull_msg& asked, const step& now);
void on_snapshot(state& self, const node_id& from, const msg::config_snapshot_msg& message,
                 const step& now);

} // namespace cyclamenhatch::distribution
