#pragma once

#include "admin/backend.h"
#include "model/time.h"

#include <set>
#include <vector>

/// What a watcher is told, as pure steps: the glue asks again and again and writes what is new.
namespace cyclamenhatch::admin {

/// How far one watcher has been told.
struct watch_cursor {
    /// Acceptance of versions up to this one has been told.
    config_version accepted;
    /// Endings in versions up to this one have been told.
    config_version endings;
    /// Versions told as accepted but not yet as in force.
    std::set<config_version> awaited;
    /// When something was last written.
    instant last_event;
};

/// Starts after a version; its progress to being in force is still told.
[[nodiscard]] watch_cursor make_watch_cursor(config_version after, instant now);

/// The events that the watcher has not been told yet, in order: versions accepted, versions in
/// force everywhere, moves ended, a gap when versions are no longer remembered, and an alive event
/// when there was nothing to tell for `alive_interval`.
[[nodiscard]] std::vector<document> next_events(watch_cursor& cursor, const backend& node,
                                                instant now);

/// How long a watcher waits at most for an event.
constexpr seconds alive_interval{5};

} // namespace cyclamenhatch::admin
