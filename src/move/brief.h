#pragma once

#include "move/controller.h"

#include <cstdint>
#include <optional>
#include <string>

/// Moves that have seconds rather than minutes. Their evidence is the counts of all entries
/// together, since one entry sees too few calls in that time; a long first stage at a small share
/// gives faults that show late or under load the time to do so, and the last stages follow quickly.
namespace cyclamenhatch::moves {

/// Moves with less time than this are brief.
inline constexpr seconds brief_limit{60};

[[nodiscard]] bool is_brief(const move& planned);

/// What speaks against the new version.
struct brief_finding {
    route_id route;
    measure what = measure::errors;
    std::uint64_t new_calls = 0;
    std::uint64_t new_hits = 0;
    std::uint64_t old_calls = 0;
    std::uint64_t old_hits = 0;
};

/// The first route, or all routes together, on which calls of the new version fail more often than
/// those of the old one, or are several times slower, beyond chance.
[[nodiscard]] std::optional<brief_finding>
find_fault(const std::map<route_id, route_totals>& totals);

/// What the counts of `later` hold beyond those of `earlier`.
[[nodiscard]] std::map<route_id, route_totals>
subtract(const std::map<route_id, route_totals>& later,
         const std::map<route_id, route_totals>& earlier);

/// The controller's decision on a brief move. Precondition: no veto holds.
[[nodiscard]] decision decide_brief(control_state& self, const control_facts& facts, instant now);

} // namespace cyclamenhatch::moves
