#pragma once

#include "distribution/step.h"

/// Tracks which version is in force in each data centre. Nodes report to the aggregator of their
/// data centre, which combines the reports into a summary that is sent to all nodes.
namespace cyclamenhatch::distribution {

/// Sends reports and summaries that are due, and records versions that came into force.
void tick_in_force(state& self, const step_context& context);

/// Stores the report of a node that takes this node for the aggregator.
void on_report(state& self, const node_id& sender, const msg::in_force_report_msg& report,
               instant now);

/// Stores a summary that is newer than the known one and forwards it.
void on_summary(state& self, const node_id& sender, const msg::in_force_summary_msg& summary,
                const step_context& context);

} // namespace cyclamenhatch::distribution
