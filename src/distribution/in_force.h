#pragma once

#include "distribution/step.h"

/// What is in force where: nodes report to the aggregator of their data centre, which combines the
/// reports into a summary that spreads to all nodes.
namespace cyclamenhatch::distribution {

/// Reports, combines and spreads what is due.
void tick_in_force(state& self, const step& now);

/// Takes in a node's report; the sender believes that this node is the aggregator.
void on_report(state& self, const node_id& from, const msg::in_force_report_msg& report,
               instant now);

/// Takes in a summary that is newer than the one known and passes it on.
void on_summary(state& self, const node_id& from, const msg::in_force_summary_msg& summary,
                const step& now);

} // namespace cyclamenhatch::distribution
