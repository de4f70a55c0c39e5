#pragma once

#include "model/time.h"
#include "wire/link_counters.h"

#include <array>
#include <cstdint>
#include <vector>

/// Detects kinds of control traffic that exceed the bytes a node may send for control.
namespace cyclamenhatch::wire {

/// Control bytes that a node may send a second.
inline constexpr std::uint64_t control_bytes_per_s = 16'000;

using sent_bytes = std::array<std::uint64_t, traffic_kind_count>;

/// Plain data; the caller serialises access.
struct traffic_watch {
    instant window_started;
    sent_bytes at_window_start{};
    /// Kinds that exceeded the rate in the last window.
    std::array<bool, traffic_kind_count> is_high{};
};

struct high_traffic {
    traffic_kind kind = traffic_kind::member;
    std::uint64_t bytes_per_s = 0;
};

/// Returns the kinds that have begun to exceed `control_bytes_per_s`, averaged over the last
/// window of 5 s; calls are not control traffic. `sent` are the totals since the start of the
/// process.
[[nodiscard]] std::vector<high_traffic> find_high_traffic(traffic_watch& watch,
                                                          const sent_bytes& sent, instant now);

} // namespace cyclamenhatch::wire
