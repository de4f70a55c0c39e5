#include "move/verdict.h"

#include <algorithm>
#include <cmath>

namespace cyclamenhatch::moves {

namespace {

/// Keeps products finite.
constexpr double max_value = 1e30;
/// Rates are clamped to this range.
constexpr double min_rate = 0.001;
constexpr double max_rate = 0.95;
/// Prior probability that a bad version is bad from its first call on.
constexpr double bad_at_once_weight = 0.5;

/// Hits up to which the distribution of hits over the versions is summed exactly; above, a binomial
/// bound is used, which errs in the new version's favour.
constexpr double max_exact_hits = 64;

/// Logarithm of the mean of effect^x, where x is how many of the window's hits fall on the new
/// version when they are spread over the calls at random (hypergeometric).
double log_exact_mean(const split& window, double effect) {
    const double hits = window.new_hits + window.old_hits;
    const double lowest = std::max(0.0, hits - window.old_calls);
    const double highest = std::min(hits, window.new_calls);
    // Weights relative to that of the lowest count; the ratio of neighbours is known.
    double weight = 1;
    double weights = 0;
    double sum = 0;
    double power = std::pow(effect, lowest);
    for (double x = lowest; x <= highest; x += 1) {
        weights += weight;
        sum += weight * power;
        power *= effect;
        const double left = (window.new_calls - x) * (hits - x);
        const double right = (x + 1) * (window.old_calls - hits + x + 1);
        weight *= right > 0 ? left / right : 0;
    }
    return std::log(sum / weights);
}

} // namespace

effect_sizes odds_ratios(measure kind, double old_rate) {
    const double base = std::clamp(old_rate, min_rate, max_rate);
    effect_sizes odds{};
    for (std::size_t i = 0; i < effect_count; ++i) {
        const double raised = std::min(base + added_rates.at(static_cast<std::size_t>(kind)).at(i),
                                       (max_rate + 1) / 2);
        odds.at(i) = raised / (1 - raised) * (1 - base) / base;
    }
    return odds;
}

effect_scores score(const split& window, const effect_sizes& odds) {
    effect_scores scores{};
    const double hits = window.new_hits + window.old_hits;
    const double calls = window.new_calls + window.old_calls;
    if (window.new_calls <= 0 || window.old_calls <= 0 || hits <= 0 || hits >= calls) {
        return scores;
    }
    for (std::size_t i = 0; i < effect_count; ++i) {
        const double expected = hits <= max_exact_hits
                                    ? log_exact_mean(window, odds[i])
                                    : hits * std::log1p(window.new_calls / calls * (odds[i] - 1));
        scores[i] = static_cast<float>(window.new_hits * std::log(odds[i]) - expected);
    }
    return scores;
}

void limit_scores(effect_scores& scores, float limit) {
    for (float& score : scores) {
        score = std::min(score, limit);
    }
}

std::array<detector, measure_count> make_detectors() {
    std::array<detector, measure_count> detectors;
    for (detector& initial : detectors) {
        initial.value.fill(bad_at_once_weight);
    }
    return detectors;
}

void advance(detector& self, const effect_scores& step, double weight) {
    for (std::size_t i = 0; i < effect_count; ++i) {
        const double grown = (self.value[i] + weight) * std::exp(static_cast<double>(step[i]));
        self.value[i] = std::min(grown, max_value);
    }
}

double level(const detector& self) {
    double sum = 0;
    for (const double value : self.value) {
        sum += value;
    }
    return sum / static_cast<double>(effect_count);
}

std::string_view measure_name(measure kind) {
    switch (kind) {
    case measure::errors:
        return "errors";
    case measure::slow:
        return "slow calls";
    case measure::very_slow:
        return "very slow calls";
    }
    return "";
}

} // namespace cyclamenhatch::moves
