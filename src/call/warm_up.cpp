#include "call/warm_up.h"

#include <algorithm>
#include <cmath>

namespace cyclamenhatch::call {
namespace {

constexpr double us_per_s = 1e6;
/// Starts of this time before an upstream becomes cold may still be on their way to it.
constexpr double under_way_s = 0.25;
/// Wait at a gate that doesn't know the rate of its cold upstream: the configuration comes soon.
constexpr microseconds unknown_rate_wait{100'000};
/// No call is told to come back later than this: cold upstreams may be the only ones.
constexpr milliseconds longest_turn{1'000};

bool has_rate(const warm_up& state) {
    return state.terms && state.terms->calls_per_s > 0;
}

void begin_cold(warm_up& state, instant until, cold_reason reason, instant now) {
    if (has_rate(state) && now >= state.cold_until && until > now) {
        // Starts at the warm upstream that have arrived there don't count.
        const auto most_under_way = state.terms->calls_per_s * under_way_s;
        state.starts.tokens = std::max(state.starts.tokens, -most_under_way);
    }
    state.cold_until = until;
    state.reason = reason;
}

} // namespace

std::string_view name_of(cold_reason reason) {
    switch (reason) {
    case cold_reason::unreachable:
        return "unreachable";
    case cold_reason::crashed:
        return "crashed";
    case cold_reason::evacuation_withdrawn:
        return "evacuation_withdrawn";
    default:
        return "stated";
    }
}

void set_terms(warm_up& state, const std::optional<warm_up_terms>& terms, instant now) {
    state.terms = terms;
    const bool is_limited = has_rate(state);
    set_rate(state.starts, is_limited ? std::optional(terms->calls_per_s) : std::nullopt, now);
}

void begin_run(warm_up& state) {
    state.starts.tokens = std::max(state.starts.tokens, 0.0);
    state.cold_until = {};
    state.last_told = {};
}

void note_stated(warm_up& state, milliseconds cold_for, instant now) {
    begin_cold(state, now + cold_for, cold_reason::stated, now);
}

void note_doubt(warm_up& state, cold_reason reason, instant now) {
    if (has_rate(state)) {
        const auto until = now + microseconds(state.terms->longest);
        begin_cold(state, std::max(state.cold_until, until), reason, now);
    }
}

bool is_cold(const warm_up& state, instant now) {
    return now < state.cold_until && (!state.terms || has_rate(state));
}

milliseconds cold_left(const warm_up& state, instant now) {
    return is_cold(state, now) ? std::chrono::ceil<milliseconds>(state.cold_until - now)
                               : milliseconds{0};
}

std::optional<double> calls_per_s(const warm_up& state, instant now) {
    return is_cold(state, now) && has_rate(state) ? state.starts.calls_per_s : std::nullopt;
}

void note_start(warm_up& state, instant now) {
    note_start(state.starts, now);
}

microseconds wait_for_start(const warm_up& state, std::size_t calls_ahead, instant now) {
    if (!is_cold(state, now)) {
        return microseconds{0};
    }
    const auto wait =
        has_rate(state) ? wait_for_start(state.starts, calls_ahead, now) : unknown_rate_wait;
    return std::min(wait, state.cold_until - now);
}

milliseconds take_turn(warm_up& state, milliseconds wait, instant now) {
    if (!is_cold(state, now) || !has_rate(state)) {
        return wait;
    }
    const auto gap = microseconds(static_cast<std::int64_t>(us_per_s / *state.starts.calls_per_s));
    const auto latest = now + std::max(wait, longest_turn);
    const auto turn = std::max(now + microseconds(wait), state.last_told + gap);
    state.last_told = std::min({turn, latest, std::max(state.cold_until, now + wait)});
    return std::max(wait, std::chrono::ceil<milliseconds>(state.last_told - now));
}

} // namespace cyclamenhatch::call
