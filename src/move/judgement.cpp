#include "move/judgement.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Level at which the evidence of the other sources confirms the strongest one.
constexpr double agreement_level = 2000;

std::array<weighed_evidence, measure_count> make_weighed() {
    std::array<weighed_evidence, measure_count> evidence;
    const auto initial = make_detectors();
    for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
        evidence.at(measure_index) = {.all = initial.at(measure_index),
                                      .without_strongest = initial.at(measure_index)};
    }
    return evidence;
}

route_judgement make_judgement() {
    return {.concurrent = make_weighed(), .earlier = make_weighed()};
}

void raise_to(detector& self, const detector& minimum) {
    for (std::size_t i = 0; i < effect_count; ++i) {
        self.value.at(i) = std::max(self.value.at(i), minimum.value.at(i));
    }
}

void advance_both(weighed_evidence& self, effect_scores all, effect_scores others, float limit,
                  double weight) {
    limit_scores(all, limit);
    limit_scores(others, limit);
    advance(self.all, all, weight);
    advance(self.without_strongest, others, weight);
}

void cap(weighed_evidence& self, double maximum) {
    for (std::size_t i = 0; maximum > 0 && i < effect_count; ++i) {
        self.all.value.at(i) = std::min(self.all.value.at(i), maximum);
        self.without_strongest.value.at(i) = std::min(self.without_strongest.value.at(i), maximum);
    }
}

void add_table(score_table& sum, const score_table& added) {
    for (std::size_t reference_index = 0; reference_index < reference_count; ++reference_index) {
        for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
            for (std::size_t i = 0; i < effect_count; ++i) {
                sum[reference_index][measure_index][i] += added[reference_index][measure_index][i];
            }
        }
    }
}

route_step sum_of(const std::map<route_id, route_step>& steps) {
    route_step sum;
    for (const auto& [route, step] : steps) {
        add_table(sum.all, step.all);
        add_table(sum.without_strongest, step.without_strongest);
        sum.has_witnesses = sum.has_witnesses || step.has_witnesses;
    }
    return sum;
}

template <class Detectors> worst_finding worst_of(const judgements& routes, Detectors detectors) {
    worst_finding worst;
    for (const auto& [route, judged] : routes) {
        for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
            const double evidence_level =
                agreed_level(detectors(judged).at(measure_index), judged.has_witnesses);
            if (evidence_level > worst.level) {
                worst = {.route = route,
                         .kind = static_cast<measure>(measure_index),
                         .level = evidence_level};
            }
        }
    }
    return worst;
}

} // namespace

void add_steps(judgements& self, std::map<route_id, route_step> steps, const step_rules& rules) {
    if (steps.size() > 1) {
        steps.emplace(route_id(std::string(all_routes)), sum_of(steps));
    }
    for (const auto& [route, step] : steps) {
        route_judgement& judged = self.try_emplace(route, make_judgement()).first->second;
        judged.has_witnesses = step.has_witnesses || rules.awaits_witnesses;
        for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
            const bool is_errors = measure_index == static_cast<std::size_t>(measure::errors);
            const float limit = is_errors ? rules.max_errors_score : rules.max_slow_score;
            advance_both(judged.concurrent[measure_index], step.all[0][measure_index],
                         step.without_strongest[0][measure_index], limit, rules.weight);
            advance_both(judged.earlier[measure_index], step.all[1][measure_index],
                         step.without_strongest[1][measure_index], limit, rules.weight);
            cap(judged.concurrent[measure_index], rules.max_value);
            cap(judged.earlier[measure_index], rules.max_value);
        }
    }
}

void forget_earlier(judgements& self) {
    for (auto& [route, judged] : self) {
        judged.earlier = make_weighed();
    }
}

void begin_check(judgements& self) {
    const auto initial = make_detectors();
    for (auto& [route, judgement] : self) {
        for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
            raise_to(judgement.concurrent.at(measure_index).all, initial.at(measure_index));
            raise_to(judgement.concurrent.at(measure_index).without_strongest,
                     initial.at(measure_index));
        }
    }
}

double agreed_level(const weighed_evidence& evidence, bool has_witnesses) {
    const double all = level(evidence.all);
    const double others = level(evidence.without_strongest);
    return !has_witnesses || others >= agreement_level ? all : std::min(all, others);
}

worst_finding worst_concurrent(const judgements& routes) {
    return worst_of(routes, [](const route_judgement& judged) { return judged.concurrent; });
}

worst_finding worst_earlier(const judgements& routes) {
    return worst_of(routes, [](const route_judgement& judged) { return judged.earlier; });
}

} // namespace cyclamenhatch::moves
