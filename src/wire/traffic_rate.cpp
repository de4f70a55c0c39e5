#include "wire/traffic_rate.h"

#include <utility>

namespace cyclamenhatch::wire {
namespace {

constexpr seconds window_length{5};

} // namespace

std::vector<high_traffic> find_high_traffic(traffic_watch& watch, const sent_bytes& sent,
                                            instant now) {
    std::vector<high_traffic> begun;
    const auto elapsed = now - watch.window_started;
    if (elapsed < window_length) {
        return begun;
    }
    const bool is_first = watch.window_started == instant{};
    const auto elapsed_ms =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(elapsed).count());
    for (std::size_t kind = 0; kind < traffic_kind_count && !is_first; ++kind) {
        if (static_cast<traffic_kind>(kind) == traffic_kind::call) {
            continue;
        }
        const auto rate = (sent.at(kind) - watch.at_window_start.at(kind)) * 1000 / elapsed_ms;
        const bool is_high = rate > control_bytes_per_s;
        if (is_high && !std::exchange(watch.is_high.at(kind), is_high)) {
            begun.push_back({.kind = static_cast<traffic_kind>(kind), .bytes_per_s = rate});
        }
        watch.is_high.at(kind) = is_high;
    }
    watch.window_started = now;
    watch.at_window_start = sent;
    return begun;
}

} // namespace cyclamenhatch::wire
