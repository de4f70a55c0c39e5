#include "call/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenhatch::call {

using msg::refusal_reason;

namespace {

/// A call that can no longer meet its objective waits only behind fewer calls than this.
constexpr std::size_t max_ahead_of_late_call = 2;
/// A call is overdue after its longest possible wait divided by this.
constexpr int patience_divisor = 3;
/// Ranks between calls whose run times differ by a factor of two.
constexpr int ranks_per_octave = 2;
/// Ranks between priorities: a call goes before a less urgent one unless it takes four times as
/// long.
constexpr int ranks_per_priority = 4;
/// Ranks added to a call that will miss its objective: a late answer is worth about a third of one
/// in time.
constexpr int ranks_per_late = 3;
/// Larger priority values count as this one.
constexpr std::uint32_t lowest_priority = 100;
/// Share of the slots that more urgent calls are assumed to leave to the others.
constexpr double min_slot_share = 0.125;

/// A call that waited longer than this on its link does not run, since a cancel may still wait
/// behind it: upstreams must not get a call half a second after its caller has left.
constexpr microseconds max_link_delay{400'000};

/// Whether the upstream's own rate or that of a cold one limits the starts.
bool has_rate(const gate_state& gate, instant now) {
    return gate.rate.calls_per_s || is_cold(gate.warm, now);
}

/// Whether a call that arrives now finds a slot and a start by the rates.
bool is_free(const gate_state& gate, instant now) {
    return gate.running.size() < current_limit(gate.limit) &&
           wait_for_rates(gate, 0, now).count() == 0;
}

/// Whether the call would miss its objective after this wait. A call that misses it even without a
/// wait is accepted only behind few others: calls that can still meet theirs start first, and it
/// would wait in vain.
bool would_miss_objective(const gate_state& gate, const gate_request& request, microseconds wait,
                          instant now) {
    if (!request.objective) {
        return false;
    }
    const auto run_time = run_time_now(gate, request.route, now);
    if (now + run_time > *request.objective) {
        return sum_work_ahead(gate.queue, position_of(gate, request, now)).calls >=
               max_ahead_of_late_call;
    }
    return now + wait + run_time > *request.objective;
}

} // namespace

microseconds typical_latency(const gate_state& gate) {
    return microseconds(static_cast<std::int64_t>(gate.limit.latency_us));
}

microseconds expected_run_time(const gate_state& gate, const route_id& route) {
    const auto use = gate.routes.find(route);
    const bool is_measured = use != gate.routes.end() && use->second.run_time.count() > 0;
    return is_measured ? use->second.run_time : typical_latency(gate);
}

microseconds run_time_now(const gate_state& gate, const route_id& route, instant now) {
    return stretch(gate.pace, expected_run_time(gate, route), now);
}

std::uint32_t effective_limit(const gate_state& gate) {
    // With limits off, the baseline of measurements dispatches every call.
    return gate.settings.has_limits ? current_limit(gate.limit)
                                    : std::numeric_limits<std::uint32_t>::max();
}

bool may_start_one(const gate_state& gate, instant now) {
    return gate.running.size() < effective_limit(gate) &&
           (!gate.settings.has_limits || wait_for_rates(gate, 0, now).count() == 0);
}

bool is_rate_bound(const gate_state& gate, instant now) {
    return has_rate(gate, now) && gate.running.size() < effective_limit(gate) &&
           (gate.queue.size > 0 || !may_start_one(gate, now));
}

microseconds wait_for_rates(const gate_state& gate, std::size_t calls_ahead, instant now) {
    return std::max(wait_for_start(gate.rate, calls_ahead, now),
                    wait_for_start(gate.warm, calls_ahead, now));
}

std::optional<refusal_reason> find_rate_reason(const gate_state& gate, instant now) {
    if (!is_rate_bound(gate, now)) {
        return std::nullopt;
    }
    const bool is_warm_up = is_cold(gate.warm, now) &&
                            wait_for_start(gate.warm, 0, now) >= wait_for_start(gate.rate, 0, now);
    return is_warm_up ? refusal_reason::warming_up : refusal_reason::rate_limited;
}

int rank_of(std::uint32_t priority, microseconds run_time, bool is_late) {
    const double octaves = std::log2(std::max(1.0, static_cast<double>(run_time.count())));
    return static_cast<int>(std::lround(octaves * ranks_per_octave)) +
           static_cast<int>(std::min(priority, lowest_priority)) * ranks_per_priority +
           (is_late ? ranks_per_late : 0);
}

queue_position position_of(const gate_state& gate, const gate_request& request, instant now) {
    // The order among calls does not change with the pace: it is the same for all of them.
    const auto usual_time = expected_run_time(gate, request.route);
    const auto run_time = stretch(gate.pace, usual_time, now);
    const bool is_late = request.objective && now + run_time > *request.objective;
    const auto until = request.objective && !is_late ? *request.objective : request.deadline;
    return {.rank = rank_of(request.priority, usual_time, is_late), .due = until - run_time};
}

microseconds expected_wait(const gate_state& gate, const queue_position& position, instant now) {
    const auto ahead = sum_work_ahead(gate.queue, position);
    const auto rate_wait = wait_for_rates(gate, ahead.calls, now);
    if (has_rate(gate, now) && gate.running.size() < effective_limit(gate)) {
        return rate_wait;
    }
    const double limit = std::max(1U, current_limit(gate.limit));
    const double left = limit - slots_before(gate.routes, position.rank, now);
    const auto work = ahead.run_time + typical_latency(gate);
    const auto slot_wait = microseconds(static_cast<std::int64_t>(
        static_cast<double>(work.count()) / std::max(left, limit * min_slot_share)));
    return std::max(stretch(gate.pace, slot_wait, now), rate_wait);
}

microseconds expected_route_wait(const gate_state& gate, const route_id& route, instant now) {
    if (gate.queue.size == 0 && is_free(gate, now)) {
        return microseconds{0};
    }
    const auto use = gate.routes.find(route);
    return use == gate.routes.end()
               ? longest_wait(gate, now)
               : expected_wait(gate, {.rank = use->second.rank, .due = instant::max()}, now);
}

microseconds longest_wait(const gate_state& gate, instant now) {
    return gate.queue.size == 0 && is_free(gate, now)
               ? microseconds{0}
               : expected_wait(gate, {.rank = std::numeric_limits<int>::max(), .due = now}, now);
}

milliseconds retry_delay(const gate_state& gate, const route_id& route, instant now) {
    return std::max(milliseconds(1),
                    std::chrono::ceil<milliseconds>(expected_route_wait(gate, route, now)));
}

std::optional<refusal> find_closed_reason(const gate_state& gate) {
    if (gate.is_draining || gate.is_upstream_leaving ||
        gate.upstream == msg::upstream_state::draining ||
        gate.upstream == msg::upstream_state::gone) {
        return refusal{.reason = refusal_reason::draining,
                       .retry_helps = true,
                       .retry_after = retry_elsewhere_after};
    }
    if (gate.is_evacuated) {
        return refusal{.reason = refusal_reason::evacuated,
                       .retry_helps = true,
                       .retry_after = retry_elsewhere_after};
    }
    if (gate.upstream != msg::upstream_state::ready || gate.limit.slots == 0) {
        return refusal{.reason = refusal_reason::no_endpoint,
                       .retry_helps = true,
                       .retry_after = retry_elsewhere_after};
    }
    return std::nullopt;
}

instant overdue_time(const gate_state& gate, const gate_request& request, instant now) {
    const auto run_time = run_time_now(gate, request.route, now);
    const auto patience = std::max(request.deadline - run_time - now, microseconds{0});
    return now + patience / patience_divisor;
}

refusal make_deadline_refusal(const gate_state& gate, const route_id& route, instant now) {
    return {.reason = refusal_reason::deadline, .retry_after = retry_delay(gate, route, now)};
}

refusal make_held_refusal(milliseconds held_for) {
    // Another gate would refuse it too, or let one more upstream crash.
    return {.reason = refusal_reason::quarantined, .retry_helps = false, .retry_after = held_for};
}

refusal make_end_refusal(const upstream_end& end) {
    if (end.held_for) {
        return make_held_refusal(*end.held_for);
    }
    return {.outcome = end.is_not_run ? msg::call_outcome::not_run : msg::call_outcome::unknown,
            .reason = end.is_not_run ? end.not_run_reason : refusal_reason::upstream_unreachable,
            .retry_helps = true,
            .retry_after = retry_elsewhere_after};
}

std::optional<refusal> find_refusal(const gate_state& gate, const gate_request& request,
                                    instant now) {
    if (request.held_for) {
        return make_held_refusal(*request.held_for);
    }
    if (auto closed = find_closed_reason(gate)) {
        return closed;
    }
    if (request.service != gate.service || request.version != gate.version) {
        return refusal{.reason = refusal_reason::wrong_version,
                       .retry_helps = true,
                       .retry_after = retry_elsewhere_after};
    }
    if (request.deadline <= now) {
        return make_deadline_refusal(gate, request.route, now);
    }
    if (request.link_delay > max_link_delay) {
        return refusal{.reason = refusal_reason::delayed,
                       .retry_helps = true,
                       .retry_after = retry_elsewhere_after};
    }
    const auto rate_reason = find_rate_reason(gate, now);
    // An idle gate always tries: its measured latency may be out of date.
    const bool is_idle = gate.running.empty() && !rate_reason;
    if (is_idle || !gate.settings.has_limits) {
        return std::nullopt;
    }
    const bool must_wait = !may_start_one(gate, now) || gate.queue.size > 0;
    if (must_wait && request.no_wait) {
        return refusal{.reason = rate_reason.value_or(refusal_reason::busy),
                       .retry_helps = true,
                       .retry_after = retry_delay(gate, request.route, now)};
    }
    const auto wait =
        must_wait ? expected_wait(gate, position_of(gate, request, now), now) : microseconds{0};
    if (now + wait + run_time_now(gate, request.route, now) > request.deadline) {
        return refusal{.reason = rate_reason.value_or(refusal_reason::deadline),
                       .retry_helps = must_wait,
                       .retry_after = retry_delay(gate, request.route, now)};
    }
    if (must_wait && would_miss_objective(gate, request, wait, now)) {
        return refusal{.reason = rate_reason.value_or(refusal_reason::queue_full),
                       .retry_helps = true,
                       .retry_after = retry_delay(gate, request.route, now)};
    }
    return std::nullopt;
}

} // namespace cyclamenhatch::call
