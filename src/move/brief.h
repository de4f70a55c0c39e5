#pragma once

#include "move/controller.h"

#include <cstdint>
#include <optional>
#include <string>

/// Moves that last seconds rather than minutes. They are judged by the summed counts of all
/// entries, since a single entry sees too few calls in that time. A long first stage at a small
/// share leaves time for faults that appear late or under load; the last stages follow quickly.
namespace cyclamenhatch::moves {

/// Moves shorter than this are brief.
inline constexpr seconds brief_limit{60};

[[nodiscard]] bool is_brief(const move& planned);

/// A significant difference between the versions, on one route or (empty `route`) on all.
struct brief_finding {
    route_id route;
    measure kind = measure::errors;
    std::uint64_t new_calls = 0;
    std::uint64_t new_hits = 0;
    std::uint64_t old_calls = 0;
    std::uint64_t old_hits = 0;
};

/// The first route on which the new version fails more often than the old one, or is several times
/// slower, by a significant margin; all routes together are tested last.
[[nodiscard]] std::optional<brief_finding>
find_fault(const std::map<route_id, route_totals>& totals);

/// The counts of `later` less those of `earlier`, never below zero.
[[nodiscard]] std::map<route_id, route_totals>
subtract(const std::map<route_id, route_totals>& later,
         const std::map<route_id, route_totals>& earlier);

/// The controller's decision on a brief move. Precondition: no veto holds.
[[nodiscard]] decision decide_brief(control_state& self, const control_facts& facts, instant now);

} // namespace cyclamenhatch::moves
