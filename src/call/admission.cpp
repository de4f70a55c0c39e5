#include "call/admission.h"

#include <algorithm>
#include <limits>

namespace cyclamenhatch::call {

using msg::refusal_reason;

namespace {

/// Calls that have lost their objective wait only while fewer calls than this do.
constexpr std::size_t late_queue = 2;
/// Part of the time that it can wait after which a call without an attainable objective is due, so
/// that calls with one, which go first, do not keep it waiting until its deadline.
constexpr int patience_divisor = 3;

/// Whether waiting that long would cost the call its objective. A call that has lost it already may
/// wait behind few others only: those that can still meet theirs come first, and it would wait in
/// vain.
bool is_worth_less_for(const gate_state& gate, const gate_request& request, microseconds wait,
                       instant now) {
    if (!request.objective) {
        return false;
    }
    const auto run = expected_run(gate, request.route);
    if (now + run > *request.objective) {
        return gate.queue.size >= late_queue;
    }
    return now + wait + run > *request.objective;
}

} // namespace

microseconds typical_latency(const gate_state& gate) {
    return microseconds(static_cast<std::int64_t>(gate.limit.latency_us));
}

microseconds expected_run(const gate_state& gate, const route_id& route) {
    const auto known = gate.run_times.find(route);
    return known == gate.run_times.end() ? typical_latency(gate) : known->second;
}

std::uint32_t effective_limit(const gate_state& gate) {
    // Without limits the baseline hands over whatever comes.
    return gate.settings.has_limits ? current_limit(gate.limit)
                                    : std::numeric_limits<std::uint32_t>::max();
}

microseconds expected_wait(const gate_state& gate, std::size_t ahead) {
    const auto limit = std::max(1U, current_limit(gate.limit));
    return typical_latency(gate) * (ahead + 1) / limit;
}

microseconds present_wait(const gate_state& gate) {
    const bool is_free = gate.queue.size == 0 && gate.running.size() < current_limit(gate.limit);
    return is_free ? microseconds{0} : expected_wait(gate, gate.queue.size);
}

milliseconds wait_in_ms(const gate_state& gate) {
    const auto wait = expected_wait(gate, gate.queue.size);
    return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(wait));
}

std::optional<refusal> find_closed_reason(const gate_state& gate) {
    if (gate.is_draining || gate.upstream == msg::upstream_state::draining ||
        gate.upstream == msg::upstream_state::gone) {
        return refusal{.reason = refusal_reason::draining,
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

instant due_time(const gate_state& gate, const gate_request& request, instant now) {
    const auto run = expected_run(gate, request.route);
    if (request.objective && now + run <= *request.objective) {
        return *request.objective - run;
    }
    const auto patience = std::max(request.deadline - run - now, microseconds{0});
    return now + patience / patience_divisor;
}

std::optional<refusal> find_refusal(const gate_state& gate, const gate_request& request,
                                    instant now) {
    if (auto closed = find_closed_reason(gate)) {
        return closed;
    }
    if (request.service != gate.service || request.version != gate.version) {
        return refusal{.reason = refusal_reason::wrong_version,
                       .retry_helps = true,
                       .retry_after = retry_elsewhere_after};
    }
    if (request.deadline <= now) {
        return refusal{.reason = refusal_reason::deadline};
    }
    // An idle gate always tries: its idea of the latency may be out of date.
    if (gate.running.empty() || !gate.settings.has_limits) {
        return std::nullopt;
    }
    const bool must_wait = gate.running.size() >= effective_limit(gate) || gate.queue.size > 0;
    if (must_wait && request.no_wait) {
        return refusal{
            .reason = refusal_reason::busy, .retry_helps = true, .retry_after = wait_in_ms(gate)};
    }
    const auto wait =
        must_wait ? expected_wait(gate, count_ahead(gate.queue, due_time(gate, request, now)))
                  : microseconds{0};
    if (now + wait + expected_run(gate, request.route) > request.deadline) {
        return refusal{.reason = refusal_reason::deadline,
                       .retry_helps = must_wait,
                       .retry_after = wait_in_ms(gate)};
    }
    if (must_wait && is_worth_less_for(gate, request, wait, now)) {
        return refusal{.reason = refusal_reason::queue_full,
                       .retry_helps = true,
                       .retry_after = wait_in_ms(gate)};
    }
    return std::nullopt;
}

} // namespace cyclamenhatch::call
