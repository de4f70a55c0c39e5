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

/// `mutex` guards `watchers` and `is_stopping`; the thread releases it only while it waits.
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
    for (const auto& event : events) {
        lines += write_json(event) + "\n";
    }
    return lines;
}

/// Writes new events; returns false, with the watcher closed, when writing fails.
bool serve(watch_hub& hub, watcher& client) {
    const auto lines = to_lines(next_events(client.cursor, hub.node, hub.now()));
    if (lines.empty() || client.write(lines)) {
        return true;
    }
    client.close();
    return false;
}

void run(watch_hub& hub) {
    std::unique_lock lock(hub.mutex);
    while (!hub.is_stopping) {
        std::erase_if(hub.watchers, [&](watcher& client) { return !serve(hub, client); });
        hub.wake.wait_for(lock, poll_interval);
    }
    for (auto& client : hub.watchers) {
        client.close();
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

bool add_watcher(watch_hub& hub, watcher client) {
    const std::lock_guard lock(hub.mutex);
    if (hub.is_stopping || hub.watchers.size() >= max_watchers) {
        return false;
    }
    hub.watchers.push_back(std::move(client));
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
