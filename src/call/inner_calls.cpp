#include "call/inner_calls.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

/// An inner call's deadline differs from its parent's by the way to the upstream and back.
constexpr microseconds most_before{5'000};
constexpr microseconds most_after{15'000};
constexpr double smoothing = 0.05;
/// Calls after which a route can be told.
constexpr std::uint32_t least_calls = 20;
constexpr double inner_share = 0.7;
/// Part of the retry budget that calls from outside may use, in percent.
constexpr std::uint32_t outer_percent = 70;
constexpr std::uint32_t all_percent = 100;
constexpr microseconds idle_time{60'000'000};

} // namespace

bool runs_parent(const gate_state& gate, instant deadline) {
    return std::any_of(gate.running.begin(), gate.running.end(), [deadline](const auto& entry) {
        const auto difference = deadline - entry.second.deadline;
        return difference >= -most_before && difference <= most_after;
    });
}

void note_origin(route_origins& origins, const route_id& route, const service_id& service,
                 bool has_parent, instant now) {
    auto& origin = origins[route];
    origin.service = service;
    origin.calls += origin.calls < least_calls ? 1 : 0;
    // The first calls count alike, later ones by the smoothing.
    const double part = origin.calls < least_calls ? 1.0 / origin.calls : smoothing;
    origin.parent_share += ((has_parent ? 1.0 : 0.0) - origin.parent_share) * part;
    origin.noted_at = now;
}

bool is_inner(const route_origins& origins, const route_id& route) {
    const auto origin = origins.find(route);
    return origin != origins.end() && origin->second.calls >= least_calls &&
           origin->second.parent_share >= inner_share;
}

budget_rules rules_for(const budget_rules& rules, const route_origins& origins,
                       const route_id& route, const service_id& service) {
    const bool gets_inner = std::any_of(origins.begin(), origins.end(), [&](const auto& entry) {
        return entry.second.service == service && is_inner(origins, entry.first);
    });
    if (!gets_inner || is_inner(origins, route)) {
        return rules;
    }
    auto outer = rules;
    outer.percent = rules.percent * outer_percent / all_percent;
    outer.slack = rules.slack * outer_percent / all_percent;
    return outer;
}

void forget_idle(route_origins& origins, instant now) {
    std::erase_if(origins,
                  [now](const auto& entry) { return now - entry.second.noted_at > idle_time; });
}

} // namespace cyclamenhatch::call
