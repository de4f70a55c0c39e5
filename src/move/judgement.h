#pragma once

#include "move/reports.h"
#include "move/verdict.h"

#include <array>
#include <map>
#include <string_view>

/// The evidence against the new version as a controller has accumulated it.
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
    /// Against the old version's earlier calls; only makes the controller compare side by side.
    std::array<weighed_evidence, measure_count> earlier;
    bool has_witnesses = false;
};

using judgements = std::map<route_id, route_judgement>;

/// How one step of evidence is taken in.
struct step_rules {
    /// Largest score of the step over all sources, so that a short burst takes nothing back.
    float max_errors_score = 0;
    float max_slow_score = 0;
    /// Prior probability that a fault begins in this step.
    double weight = 0;
    /// Values that the detectors must not exceed yet; none when zero.
    double max_value = 0;
    /// Other sources have not had the time to report.
    bool awaits_witnesses = false;
};

/// Takes in one step of each route, and of all routes together for a fault that shows on every
/// route a little.
void add_steps(judgements& self, std::map<route_id, route_step> steps, const step_rules& rules);

/// Starts the comparison with earlier calls anew.
void forget_earlier(judgements& self);

/// A check is made on a suspicion: as likely as not, the version is bad now.
void begin_check(judgements& self);

/// The level of the evidence that counts: all of it when the sources other than the strongest agree
/// or carry no calls of the route, otherwise theirs.
[[nodiscard]] double agreed_level(const weighed_evidence& of, bool has_witnesses);

/// The strongest evidence against the new version over all routes.
struct worst_finding {
    route_id route;
    measure what = measure::errors;
    double level = 0;
};

[[nodiscard]] worst_finding worst_concurrent(const judgements& from);
[[nodiscard]] worst_finding worst_earlier(const judgements& from);

} // namespace cyclamenhatch::moves
