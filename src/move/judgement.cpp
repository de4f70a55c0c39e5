#include "move/judgement.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Evidence of the other sources that supports the strongest one.
constexpr double agreement_level = 2000;

std::array<weighed_evidence, measure_count> make_weighed() {
    std::array<weighed_evidence, measure_count> made;
    const auto fresh = make_detectors();
    for (std::size_t of = 0; of < measure_count; ++of) {
        made.at(of) = {.all = fresh.at(of), .without_strongest = fresh.at(of)};
    }
    return made;
}

route_judgement make_judgement() {
    return {.concurrent = make_weighed(), .earlier = make_weighed()};
}

void raise_to(detector& self, const detector& least) {
    for (std::size_t i = 0; i < effect_count; ++i) {
        self.value.at(i) = std::max(self.value.at(i), least.value.at(i));
    }
}

void advance_both(weighed_evidence& self, effect_scores all, effect_scores others, float limit,
                  double weight) {
    limit_scores(all, limit);
    limit_scores(others, limit);
    advance(self.all, all, weight);
    advance(self.without_strongest, others, weight);
}

void cap(weighed_evidence& self, double most) {
    for (std::size_t i = 0; most > 0 && i < effect_count; ++i) {
        self.all.value.at(i) = std::min(self.all.value.at(i), most);
        self.without_strongest.value.at(i) = std::min(self.without_strongest.value.at(i), most);
    }
}

void add_table(score_table& sum, const score_table& added) {
    for (std::size_t with = 0; with < reference_count; ++with) {
        for (std::size_t of = 0; of < measure_count; ++of) {
            for (std::size_t i = 0; i < effect_count; ++i) {
                sum[with][of][i] += added[with][of][i];
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

template <class Detectors> worst_finding worst_of(const judgements& from, Detectors detectors) {
    worst_finding worst;
    for (const auto& [route, judged] : from) {
        for (std::size_t of = 0; of < measure_count; ++of) {
            const double found = agreed_level(detectors(judged).at(of), judged.has_witnesses);
            if (found > worst.level) {
                worst = {.route = route, .what = static_cast<measure>(of), .level = found};
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
        for (std::size_t of = 0; of < measure_count; ++of) {
            const bool is_errors = of == static_cast<std::size_t>(measure::errors);
            const float limit = is_errors ? rules.max_errors_score : rules.max_slow_score;
            advance_both(judged.concurrent[of], step.all[0][of], step.without_strongest[0][of],
                         limit, rules.weight);
            advance_both(judged.earlier[of], step.all[1][of], step.without_strongest[1][of], limit,
                         rules.weight);
            cap(judged.concurrent[of], rules.max_value);
            cap(judged.earlier[of], rules.max_value);
        }
    }
}

void forget_earlier(judgements& self) {
    for (auto& [route, judged] : self) {
        judged.earlier = make_weighed();
    }
}

void begin_check(judgements& self) {
    const auto fresh = make_detectors();
    for (auto& [route, judged] : self) {
        for (std::size_t of = 0; of < measure_count; ++of) {
            raise_to(judged.concurrent.at(of).all, fresh.at(of));
            raise_to(judged.concurrent.at(of).without_strongest, fresh.at(of));
        }
    }
}

double agreed_level(const weighed_evidence& of, bool has_witnesses) {
    const double all = level(of.all);
    const double others = level(of.without_strongest);
    return !has_witnesses || others >= agreement_level ? all : std::min(all, others);
}

worst_finding worst_concurrent(const judgements& from) {
    return worst_of(from, [](const route_judgement& of) { return of.concurrent; });
}

worst_finding worst_earlier(const judgements& from) {
    return worst_of(from, [](const route_judgement& of) { return of.earlier; });
}

} // namespace cyclamenhatch::moves
