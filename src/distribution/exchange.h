#pragma once

#include "distribution/step.h"

/// Exchanges notices, pulls, deltas and snapshots with other members.
namespace cyclamenhatch::distribution {

/// Sends the periodic notice and the pull when they are due.
void tick_exchange(state& self, const step_context& context);

void on_notice(state& self, const node_id& sender, const msg::config_notice_msg& notice,
               const step_context& context);
void on_delta(state& self, const node_id& sender, const msg::config_delta_msg& delta,
              const step_context& context);
void on_pull(state& self, const node_id& sender, const msg::config_pull_msg& request,
             const step_context& context);
void on_snapshot(state& self, const node_id& sender, const msg::config_snapshot_msg& message,
                 const step_context& context);

} // namespace cyclamenhatch::distribution
