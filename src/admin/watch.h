#pragma once

#include "admin/backend.h"
#include "model/time.h"

#include <set>
#include <vector>

/// The events of a watch, computed without I/O. watch_hub.h polls next_events and writes them.
namespace cyclamenhatch::admin {

/// Position of one watcher in the events.
struct watch_cursor {
    /// Newest version whose acceptance was reported.
    config_version accepted;
    /// Newest version whose ended moves were reported.
    config_version endings;
    /// Versions reported as accepted but not yet as in force.
    std::set<config_version> pending;
    /// Time of the last event, or of the start of the watch.
    instant last_event;
};

/// A cursor that starts after a version; that version's in_force event is still reported.
[[nodiscard]] watch_cursor make_watch_cursor(config_version after, instant now);

/// The events since the last call, in order: versions accepted, each after a gap event when
/// versions before it are no longer known; versions in force everywhere; moves ended. When there
/// was no event for `alive_interval`, an alive event.
[[nodiscard]] std::vector<document> next_events(watch_cursor& cursor, const backend& node,
                                                instant now);

/// Longest time between two events of a watch.
constexpr seconds alive_interval{5};

} // namespace cyclamenhatch::admin
