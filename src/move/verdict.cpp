#include "move/verdict.h"

#include <algorithm>
#include <cmath>

namespace cyclamenhatch::moves {

namespace {

/// Keeps products finite.
constexpr double max_value = 1e30;
/// Prior probability that a bad version is bad from its first call on.
constexpr double bad_at_once_weight = 0.5;

} // namespace

effect_scores score(const split& window) {
    effect_scores scores{};
    const double hits = window.new_hits + window.old_hits;
    if (window.new_calls <= 0 || window.old_calls <= 0 || hits <= 0) {
        return scores;
    }
    const double share = window.new_calls / (window.new_calls + window.old_calls);
    for (std::size_t i = 0; i < effects.size(); ++i) {
        const double expected = 1 - share + share * effects[i];
        scores[i] =
            static_cast<float>(window.new_hits * std::log(effects[i]) - hits * std::log(expected));
    }
    return scores;
}

void limit_scores(effect_scores& scores, float limit) {
    for (float& each : scores) {
        each = std::min(each, limit);
    }
}

std::array<detector, measure_count> make_detectors() {
    std::array<detector, measure_count> made;
    for (detector& each : made) {
        each.value.fill(bad_at_once_weight);
    }
    return made;
}

void advance(detector& self, const effect_scores& step, double weight) {
    for (std::size_t i = 0; i < effects.size(); ++i) {
        const double grown = (self.value[i] + weight) * std::exp(static_cast<double>(step[i]));
        self.value[i] = std::min(grown, max_value);
    }
}

double level(const detector& self) {
    double sum = 0;
    for (const double each : self.value) {
        sum += each;
    }
    return sum / static_cast<double>(effects.size());
}

std::string_view measure_name(measure of) {
    switch (of) {
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
