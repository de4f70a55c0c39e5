#include "document/suggestion.h"

#include <algorithm>
#include <numeric>

namespace cyclamenhatch {
namespace {

constexpr std::size_t min_prefix_length = 3;

/// Fewest single-character changes that turn one text into the other.
std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t substitution_cost = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substitution_cost, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string suggest_name(std::string_view name, const std::vector<std::string>& candidates) {
    std::string nearest;
    // A name with more than a third of its characters wrong is another word.
    std::size_t limit = name.size() / 3 + 1;
    for (const auto& candidate : candidates) {
        // A prefix of a candidate counts as a single wrong character.
        const bool is_prefix = name.size() >= min_prefix_length && candidate.starts_with(name);
        const auto distance = is_prefix ? 1 : edit_distance(name, candidate);
        if (distance <= limit && distance < candidate.size()) {
            nearest = candidate;
            limit = distance - (distance > 0 ? 1 : 0);
        }
    }
    return nearest;
}

std::string suggestion_remedy(std::string_view name) {
    return "did you mean \"" + std::string(name) + "\"?";
}

} // namespace cyclamenhatch
