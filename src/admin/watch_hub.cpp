#include "admin/watch_hub.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenhatch::admin {
namespace {

constexpr std::size_t max_watchers = 256;
constexpr milliseconds poll_interval{50};

} // namespace

/// `mutex` guards the list and the flag; the thread holds it only between rounds.
struct watch_hub {
    backend node;
    std::function<instant()> now;
    std::mutex mutex;
    std::condition_variable wake;
    std::vector<watcher> watchers;
    bool is_stopping = false;
    std::thread thread;
};

namespace {

std::string to_lines(const std::vector<document>& events) {
    std::string lines;
    for (const auto& each : events) {
        lines += write_json(each) + "\n";
    }
    return lines;
}

/// Whether the watcher stays.
bool serve(watch_hub& hub, watcher& served) {
    const auto lines = to_lines(next_events(served.cursor, hub.node, hub.now()));
    if (lines.empty() || served.write(lines)) {
        return true;
    }
    served.close();
    return false;
}

void run(watch_hub& hub) {
    std::unique_lock lock(hub.mutex);
    while (!hub.is_stopping) {
        std::erase_if(hub.watchers, [&](watcher& each) { return !serve(hub, each); });
        hub.wake.wait_for(lock, poll_interval);
    }
    for (auto& each : hub.watchers) {
        each.close();
    }
    hub.watchers.clear();
}

} // namespace

std::shared_ptr<watch_hub> start_watch_hub(backend node, std::function<instant()> now) {
    auto hub = std::make_shared<watch_hub>();
    hub->node = std::move(node);
    hub->now = std::move(now);
    hub->thread = std::thread([raw = hub.get()] { run(*raw); });
    return hub;
}

bool is_full(watch_hub& hub) {
    const std::lock_guard lock(hub.mutex);
    return hub.is_stopping || hub.watchers.size() >= max_watchers;
}

bool add_watcher(watch_hub& hub, watcher added) {
    const std::lock_guard lock(hub.mutex);
    if (hub.is_stopping || hub.watchers.size() >= max_watchers) {
        return false;
    }
    hub.watchers.push_back(std::move(added));
    hub.wake.notify_one();
    return true;
}

void stop(watch_hub& hub) {
    {
        const std::lock_guard lock(hub.mutex);
        hub.is_stopping = true;
        hub.wake.notify_one();
    }
    if (hub.thread.joinable()) {
        hub.thread.join();
    }
}

} // namespace cyclamenhatch::admin
