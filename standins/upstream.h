#pragma once

#include <cstdint>
#include <string>

namespace cyclamenhatch::standin {

/// Injected faults. They apply to the calls for which all conditions hold.
struct upstream_faults {
    /// Seconds after the start from which the faults apply; negative means never.
    double bad_after_s = -1;
    /// Share of calls that are answered with status 500.
    double bad_share = 0;
    /// Factor on the service time.
    double slow_factor = 1;
    /// Path prefix of the affected calls.
    std::string only_route;
    /// Faults apply only while more calls than this are in flight.
    std::uint32_t only_above_inflight = 0;
};

struct upstream_options {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    /// Admin URL of the node on the same host; empty announces nothing.
    std::string node;
    /// Bearer token for the node.
    std::string token;
    std::string service;
    std::string version;
    /// Number of calls that run at once.
    std::uint32_t slots = 12;
    double service_ms = 5;
    upstream_faults faults;
    /// Seconds after the start during which calls take ten times as long.
    double cold_start_s = 0;
    /// Seconds after the start when draining begins; negative means never.
    double drain_after_s = -1;
    /// Announces ready even while it is starting or draining.
    bool has_misleading_health = false;
};

/// Runs an upstream until SIGTERM or SIGINT; it then drains, finishes its calls, announces that it
/// is gone and exits. Returns the exit code.
///
/// Control requests: GET /standin/ledger[?full=1], POST /standin/drain, POST /standin/faults with
/// any of
/// {"bad_share", "slow_factor", "service_ms", "only_route", "only_above_inflight"}, which apply at
/// once.
[[nodiscard]] int run_upstream(const upstream_options& options);

} // namespace cyclamenhatch::standin
