#include "document/suggestion.h"

#include <algorithm>
#include <numeric>

namespace cyclamenhatch {
namespace {

constexpr std::size_t min_cut_length = 3;

/// Fewest single-character changes that turn one text into the other.
std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string suggest_name(std::string_view written, const std::vector<std::string>& known) {
    std::string nearest;
    // More than a third of the characters wrong is another word.
    std::size_t limit = written.size() / 3 + 1;
    for (const auto& each : known) {
        // A name that was cut short is as near as one with a single wrong character.
        const bool is_cut = written.size() >= min_cut_length && each.starts_with(written);
        const auto distance = is_cut ? 1 : edit_distance(written, each);
        if (distance <= limit && distance < each.size()) {
            nearest = each;
            limit = distance - (distance > 0 ? 1 : 0);
        }
    }
    return nearest;
}

std::string suggestion_remedy(std::string_view name) {
    return "did you mean \"" + std::string(name) + "\"?";
}

} // namespace cyclamenhatch
