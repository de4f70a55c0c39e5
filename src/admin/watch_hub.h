#pragma once

#include "admin/watch.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamenhatch::admin {

/// Serves all open watches of a node with one thread.
struct watch_hub;

/// Takes lines for one watcher; returns false when the watcher is gone or too slow.
using line_sink = std::function<bool(const std::string& lines)>;

/// `close` ends the stream towards the watcher; called once for each watcher.
struct watcher {
    watch_cursor cursor;
    line_sink write;
    std::function<void()> close;
};

[[nodiscard]] std::shared_ptr<watch_hub> start_watch_hub(backend node,
                                                         std::function<instant()> now);

/// Whether add_watcher would refuse now. Thread safe.
[[nodiscard]] bool is_full(watch_hub& hub);

/// False when there are too many watchers already. Thread safe.
[[nodiscard]] bool add_watcher(watch_hub& hub, watcher added);

/// Closes all watchers and ends the thread.
void stop(watch_hub& hub);

} // namespace cyclamenhatch::admin
