#pragma once

#include <cstdint>
#include <string>

namespace cyclamenhatch::standin {

struct store_options {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 2379;
    /// Serves faults and counters even while the store is down; 0 means `port` + 1.
    std::uint16_t control_port = 0;
};

/// Runs an in-memory store until SIGTERM or SIGINT. Returns the exit code.
///
/// Control requests: GET /standin/counters; POST /standin/faults with any of {"down": bool,
/// "unavailable": bool, "silent": bool, "slow_ms": number, "lose_answers": share, "lapse_leases":
/// true, "compact": true, "close_watches": true}; POST /standin/save, POST /standin/restore.
[[nodiscard]] int run_store(const store_options& options);

} // namespace cyclamenhatch::standin
