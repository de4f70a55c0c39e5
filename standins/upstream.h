#pragma once

#include <cstdint>
#include <string>

namespace cyclamenhatch::standin {

/// How the upstream misbehaves. Faults apply to calls for which all conditions hold.
struct upstream_faults {
    /// Seconds after the start from which the faults apply; negative is never.
    double bad_after_s = -1;
    /// Share of calls that are answered with status 500.
    double bad_share = 0;
    /// Factor on the service time.
    double slow_factor = 1;
    /// Only calls whose path starts with this.
    std::string only_route;
    /// Only while more calls than this are in flight.
    std::uint32_t only_above_inflight = 0;
};

struct upstream_options {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    /// Admin URL of the node beside it.
    std::string node;
    std::string token;
    std::string service;
    std::string version;
    std::uint32_t slots = 12;
    double service_ms = 5;
    upstream_faults faults;
    /// How long calls take ten times as long after the start.
    double cold_start_s = 0;
    /// Seconds after the start when it begins to drain; negative is never.
    double drain_after_s = -1;
    /// Announces ready in all states, also while it is cold or drains.
    bool has_misleading_health = false;
};

/// Runs an upstream until SIGTERM or SIGINT, which makes it drain, finish its calls, announce that
/// it is gone and exit. Returns the exit code.
///
/// GET /standin/ledger[?full=1], POST /standin/drain, POST /standin/faults with any of
/// {"bad_share", "slow_factor", "service_ms", "only_route", "only_above_inflight"}, which apply at
/// once.
[[nodiscard]] int run_upstream(const upstream_options& options);

} // namespace cyclamenhatch::standin
