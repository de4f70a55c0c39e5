#pragma once

#include "call/gate.h"

#include <cstddef>
#include <cstdint>
#include <optional>

/// Which calls a gate lets run, lets wait and refuses, and in which order those that wait start.
/// Pure.
///
/// A burst beyond the slots: a call is refused at once when its wait would cost it its objective,
/// so that the callers whose calls do run are served in time, and the others learn of it while they
/// can still come back. Calls that are late already: they wait behind few others only, so that they
/// do not make more calls late. Calls made on behalf of running ones: their objective is short, so
/// they start before calls that have more time, and the slots that wait for them are freed.
namespace cyclamenhatch::call {

/// How soon to come back to a gate that takes nothing at all; others may.
inline constexpr milliseconds retry_elsewhere_after{100};

/// What calls usually take at the upstream; zero before the first answer.
[[nodiscard]] microseconds typical_latency(const gate_state& gate);

/// What a call of the route usually takes at the upstream.
[[nodiscard]] microseconds expected_run(const gate_state& gate, const route_id& route);

/// Calls that may run at once.
[[nodiscard]] std::uint32_t effective_limit(const gate_state& gate);

/// Time until a call with so many ahead of it starts.
[[nodiscard]] microseconds expected_wait(const gate_state& gate, std::size_t ahead);

/// What a call that came now would wait, when no other is due later.
[[nodiscard]] microseconds present_wait(const gate_state& gate);

/// When there may be room again, at least a millisecond from now.
[[nodiscard]] milliseconds wait_in_ms(const gate_state& gate);

/// Why the gate takes nothing now, or nothing.
[[nodiscard]] std::optional<refusal> find_closed_reason(const gate_state& gate);

/// When a call should have started at the latest: for its objective while that can still be met,
/// else for its deadline.
[[nodiscard]] instant due_time(const gate_state& gate, const gate_request& request, instant now);

/// Why a call is refused, or nothing when it may run or wait.
[[nodiscard]] std::optional<refusal> find_refusal(const gate_state& gate,
                                                  const gate_request& request, instant now);

} // namespace cyclamenhatch::call
