#include "node/log_writer.h"

#include "clock/process_clock.h"
#include "model/time.h"

#include <atomic>
#include <glog/logging.h>
#include <map>
#include <mutex>
#include <optional>
#include <poll.h>
#include <unistd.h>

namespace cyclamenhatch::node {
namespace {

constexpr std::uint32_t max_lines_per_second = 20;

/// Lines of one event name within the current window of one second.
struct event_rate {
    instant window_start;
    std::uint32_t written = 0;
    std::uint32_t suppressed = 0;
};

struct log_limits {
    std::mutex lock;
    std::map<std::string, event_rate> rates;
};

log_limits& limits() {
    static log_limits shared;
    return shared;
}

/// Whether standard output accepts a line without blocking.
bool is_writable() {
    pollfd stream{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return ::poll(&stream, 1, 0) > 0 && (stream.revents & POLLOUT) != 0;
}

std::atomic<std::uint64_t>& dropped_lines() {
    static std::atomic<std::uint64_t> count{0};
    return count;
}

void write_line(log_level level, const std::string& line) {
    if (!is_writable()) {
        ++dropped_lines();
        return;
    }
    if (const auto dropped = dropped_lines().exchange(0); dropped > 0) {
        LOG(WARNING) << "event=lines_dropped count=" << dropped;
    }
    switch (level) {
    case log_level::info:
        LOG(INFO) << line;
        return;
    case log_level::warning:
        LOG(WARNING) << line;
        return;
    case log_level::error:
        LOG(ERROR) << line;
        return;
    }
}

/// Starts a new window when the current one is over. Returns a report of the lines suppressed in
/// the previous window, if any.
std::optional<log_event> roll_window(event_rate& rate, const std::string& name, instant now) {
    if (now - rate.window_start < seconds{1}) {
        return std::nullopt;
    }
    const auto suppressed = rate.suppressed;
    rate = {.window_start = now};
    if (suppressed == 0) {
        return std::nullopt;
    }
    return log_event{log_level::warning,
                     "events_suppressed",
                     {{"of", name}, {"count", std::to_string(suppressed)}}};
}

} // namespace

void start_logging(msg::log_level lowest) {
    FLAGS_logtostdout = true;
    set_log_level(lowest);
    google::InitGoogleLogging("cyclamenhatch");
}

void set_log_level(msg::log_level lowest) {
    FLAGS_minloglevel = static_cast<int>(lowest);
}

void write_log(const log_event& event) {
    std::optional<log_event> report;
    bool is_written = false;
    {
        const std::lock_guard<std::mutex> guard(limits().lock);
        auto& rate = limits().rates[event.name];
        report = roll_window(rate, event.name, current_time());
        is_written = rate.written < max_lines_per_second;
        auto& count = is_written ? rate.written : rate.suppressed;
        ++count;
    }
    if (report) {
        write_line(report->level, to_line(*report));
    }
    if (is_written) {
        write_line(event.level, to_line(event));
    }
}

} // namespace cyclamenhatch::node
