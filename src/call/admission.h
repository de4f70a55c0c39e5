#pragma once

#include "call/gate.h"

#include <cstddef>
#include <cstdint>
#include <optional>

/// Decides which calls a gate runs, queues or refuses, and orders the queue. Pure functions.
///
/// - Burst beyond the slots: a call is refused at once when its wait would make it miss its
///   objective. The calls that run are answered in time, and the others can still be retried.
/// - Calls that can no longer meet their objective wait only behind few others, so that they do
///   not delay more calls.
/// - Routes that share the slots: the priority of the route and the expected run time decide which
///   call starts first.
/// - Calls made on behalf of running calls are short, so they start before longer ones of the same
///   priority and free the slots that wait for them.
/// - An upstream that states a rate: calls start at that rate, in the same order as for slots, and
///   those that it lets start too late are refused at once. Short overloads of some upstreams move
///   to others; a lasting overload of all is refused with the time of the next start.
/// - A cold upstream: the same by the rate of its service (see warm_up.h); the lower rate binds.
/// - Lasting overload: a share of the starts goes to the calls that have waited longest, so that no
///   route starves.
namespace cyclamenhatch::call {

/// Retry delay advised when this gate takes no calls at all; other gates may take them.
inline constexpr milliseconds retry_elsewhere_after{100};

/// Smoothed latency of all calls at the upstream at its usual pace; zero before the first answer.
[[nodiscard]] microseconds typical_latency(const gate_state& gate);

/// Run time of the route's calls at the upstream at its usual pace; typical_latency() until it is
/// measured.
[[nodiscard]] microseconds expected_run_time(const gate_state& gate, const route_id& route);

/// Expected run time of a call of the route that starts now, by the pace that the upstream states.
[[nodiscard]] microseconds run_time_now(const gate_state& gate, const route_id& route, instant now);

/// Number of calls that may run at once.
[[nodiscard]] std::uint32_t effective_limit(const gate_state& gate);

/// Whether a slot is free and the rates allow a start.
[[nodiscard]] bool may_start_one(const gate_state& gate, instant now);

/// Whether calls must wait for a rate, stated or of a cold upstream, although a slot is free.
[[nodiscard]] bool is_rate_bound(const gate_state& gate, instant now);

/// Time until the rates let a call start that has `calls_ahead` others before it.
[[nodiscard]] microseconds wait_for_rates(const gate_state& gate, std::size_t calls_ahead,
                                          instant now);

/// The reason to refuse a call that must wait for a rate; nothing while is_rate_bound() is false.
[[nodiscard]] std::optional<msg::refusal_reason> find_rate_reason(const gate_state& gate,
                                                                  instant now);

/// Rank of a call in the queue; the lowest starts first.
[[nodiscard]] int rank_of(std::uint32_t priority, microseconds run_time, bool is_late);

/// Queue position of a call that arrives now.
[[nodiscard]] queue_position position_of(const gate_state& gate, const gate_request& request,
                                         instant now);

/// Expected time until a call in this position starts.
[[nodiscard]] microseconds expected_wait(const gate_state& gate, const queue_position& position,
                                         instant now);

/// Expected wait of a call of this route that arrives now; longest_wait() for an unknown route.
[[nodiscard]] microseconds expected_route_wait(const gate_state& gate, const route_id& route,
                                               instant now);

/// Expected wait of a call behind all others.
[[nodiscard]] microseconds longest_wait(const gate_state& gate, instant now);

/// Delay after which a refused call of this route may find room; at least 1 ms.
[[nodiscard]] milliseconds retry_delay(const gate_state& gate, const route_id& route, instant now);

/// The refusal that holds for all calls now, or nothing while the gate takes calls.
[[nodiscard]] std::optional<refusal> find_closed_reason(const gate_state& gate);

/// Time at which a call that arrives now counts as overdue if it still waits.
[[nodiscard]] instant overdue_time(const gate_state& gate, const gate_request& request,
                                   instant now);

/// The refusal of a call of this route that did not run before its deadline.
[[nodiscard]] refusal make_deadline_refusal(const gate_state& gate, const route_id& route,
                                            instant now);

/// The refusal of a request under which upstreams have crashed.
[[nodiscard]] refusal make_held_refusal(milliseconds held_for);

/// The refusal of a dispatched call that ended without an answer.
[[nodiscard]] refusal make_end_refusal(const upstream_end& end);

/// The refusal of a call, or nothing when it may run or wait.
[[nodiscard]] std::optional<refusal> find_refusal(const gate_state& gate,
                                                  const gate_request& request, instant now);

} // namespace cyclamenhatch::call
