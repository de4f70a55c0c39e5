#pragma once

#include "control/feed_fleet.h"

#include <string>
#include <vector>

/// A fleet that has settled, for tests of the duty to watch the store.
namespace cyclamenhatch::control::testing {

/// A confirmed configuration is in force at all nodes within this time.
inline constexpr milliseconds in_force_bound{2000};

/// A fleet with the intervals of a deployment on the platform. `phase` shifts what follows against
/// the nodes' probes.
[[nodiscard]] feed_fleet start_settled_fleet(std::size_t count,
                                             const std::vector<std::string>& data_centres,
                                             milliseconds phase);

[[nodiscard]] bool is_watching(const feed_fleet& fleet, std::size_t node);

/// The nodes that watch the store, or are about to.
[[nodiscard]] std::vector<std::size_t> list_watching(const feed_fleet& fleet);

} // namespace cyclamenhatch::control::testing
