#pragma once

#include "membership/membership.h"
#include "model/finding.h"
#include "model/ids.h"
#include "model/resources.h"
#include "model/snapshot.h"
#include "move/attempt_key.h"
#include "move/controller.h"

#include <cstdint>
#include <string>
#include <vector>

/// The nodes that control a move, the receivers of reports and the ready endpoints, derived from
/// the member table and the configuration.
namespace cyclamenhatch::moves {

/// Derived from one generation of the member table and one configuration.
struct topology {
    std::uint64_t generation = 0;
    snapshot_ptr config;
    /// By rank. The first decides; the others receive the same reports, second its vetoes and are
    /// ready to replace it.
    std::vector<node_id> controllers;
    std::size_t live_members = 1;
    /// In a large fleet entries report to a combiner in their data centre.
    bool is_combined = false;
    /// This entry's group; the source name of the group's combined report.
    std::string group;
    node_id combiner;
    /// Largest number of reports that one node receives per interval.
    std::size_t fan_in = 1;
    ready_slots ready;
};

/// Members up to this number report to the controllers directly.
inline constexpr std::size_t max_direct_reporters = 48;
/// Number of controllers that receive reports.
inline constexpr std::size_t report_controllers = 3;

/// Endpoints of evacuated data centres don't count as ready.
[[nodiscard]] topology make_topology(const membership::table& members, const snapshot_ptr& config,
                                     const attempt_key& key, const move& planned);

/// The group of a reporting node within a data centre of `members_there` members.
[[nodiscard]] std::string group_name(const data_centre_id& data_centre, const node_id& reporter,
                                     std::size_t members_in_data_centre);

/// Whether a node is among the first `ranks` controllers.
[[nodiscard]] bool is_controller(const topology& self, const node_id& node, std::size_t ranks);

/// Whether a veto of one node is enough, since there are too few members for a second opinion.
[[nodiscard]] bool is_single_veto_enough(const topology& self);

/// Findings when no ready endpoint announces the new version, so that the move waits, or the old
/// one, so that a take-back leaves nothing to serve the calls.
[[nodiscard]] findings check_endpoints(const ready_slots& ready, const move& planned);

/// Time between reports, limiting each receiver to about 32 reports per second.
[[nodiscard]] milliseconds report_interval(const topology& self, std::uint32_t shortest_ms);

} // namespace cyclamenhatch::moves
