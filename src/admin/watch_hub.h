#pragma once

#include "admin/watch.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamenhatch::admin {

/// Serves all open watches of a node with one thread.
struct watch_hub;

/// Writes lines to one watcher; returns false when it has disconnected or is too slow.
using line_sink = std::function<bool(const std::string& lines)>;

/// An open watch. `close` ends its stream and is called exactly once.
struct watcher {
    watch_cursor cursor;
    line_sink write;
    std::function<void()> close;
};

[[nodiscard]] std::shared_ptr<watch_hub> start_watch_hub(backend node,
                                                         std::function<instant()> now);

/// Whether add_watcher would refuse a watcher now. Thread safe.
[[nodiscard]] bool is_full(watch_hub& hub);

/// Returns false, without closing the watcher, when there are too many or the hub has stopped.
/// Thread safe.
[[nodiscard]] bool add_watcher(watch_hub& hub, watcher client);

/// Closes all watchers and joins the thread.
void stop(watch_hub& hub);

} // namespace cyclamenhatch::admin
