#pragma once

#include "move/reports.h"
#include "move/verdict.h"

#include <array>
#include <map>
#include <string_view>

/// The evidence against the new version that a controller has accumulated.
namespace cyclamenhatch::moves {

/// Name under which the evidence of all routes together is judged.
inline constexpr std::string_view all_routes = "*";

/// Evidence on one measure from all sources, and from all but the strongest.
struct weighed_evidence {
    detector all;
    detector without_strongest;
};

struct route_judgement {
    std::array<weighed_evidence, measure_count> concurrent;
    /// Compared with the old version's earlier calls; only starts a side by side comparison.
    std::array<weighed_evidence, measure_count> earlier;
    bool has_witnesses = false;
};

using judgements = std::map<route_id, route_judgement>;

/// How one step of evidence is added.
struct step_rules {
    /// Largest score of the step over all sources, so that a short burst takes no move back.
    float max_errors_score = 0;
    float max_slow_score = 0;
    /// Prior probability that a fault begins in this step.
    double weight = 0;
    /// Upper bound on the detectors' values; no bound when zero.
    double max_value = 0;
    /// Other sources have not had the time to report.
    bool awaits_witnesses = false;
};

/// Adds one step of each route, and of all routes together to detect a fault that shows only a
/// little on each route.
void add_steps(judgements& self, std::map<route_id, route_step> steps, const step_rules& rules);

/// Resets the comparison with earlier calls.
void forget_earlier(judgements& self);

/// Raises the detectors to their initial value, a prior probability of one half that the version is
/// bad, since a check follows a suspicion.
void begin_check(judgements& self);

/// The level to decide by: that of all sources when the sources other than the strongest agree or
/// have no calls of the route, otherwise the lower of both.
[[nodiscard]] double agreed_level(const weighed_evidence& evidence, bool has_witnesses);

/// The strongest evidence against the new version over all routes.
struct worst_finding {
    route_id route;
    measure kind = measure::errors;
    double level = 0;
};

[[nodiscard]] worst_finding worst_concurrent(const judgements& routes);
[[nodiscard]] worst_finding worst_earlier(const judgements& routes);

} // namespace cyclamenhatch::moves
