#pragma once

#include "edge/gate_side.h"

#include <optional>
#include <string>

/// Watches at the gate for crashes of the upstream, and reports them with the calls that it was
/// running.
namespace cyclamenhatch::edge {

/// Work left to do after an event, without the lock.
struct crash_step {
    bool must_probe = false;
    std::optional<call::upstream_crash> crash;
    /// The request that has run well.
    std::optional<request_digest> ran_well;
};

/// How long the call's request is still held; nothing while it may run. Precondition: the lock is
/// not held.
[[nodiscard]] std::optional<milliseconds> find_hold(const gate_side& side,
                                                    const msg::call_open_msg& request, instant now);

/// A call is about to be sent to the upstream. Precondition: the lock is held.
void watch_run(gate_side& side, const gate_flow& flow, const std::string& request_id, instant now);

/// A call has ended at the upstream. Precondition: the lock is held.
[[nodiscard]] crash_step watch_end(gate_side& side, const call_id& call,
                                   const call::upstream_end& end, instant now);

/// Follows whether the upstream leaves. Precondition: the lock is held.
void watch_state(gate_side& side);

/// Reports a crash whose other runs were awaited long enough. Precondition: the lock is held.
[[nodiscard]] crash_step watch_time(gate_side& side, instant now);

/// Precondition: the lock is not held.
void carry_out(gate_side& side, crash_step step);

} // namespace cyclamenhatch::edge
