#include "model/resources.h"

#include <algorithm>

namespace cyclamenhatch {

const move* find_open_move(const section& content) {
    const auto it =
        std::find_if(content.moves.begin(), content.moves.end(),
                     [](const move& candidate) { return !candidate.ending.has_value(); });
    return it == content.moves.end() ? nullptr : &*it;
}

void sort_routes(section& content) {
    std::stable_sort(content.routes.begin(), content.routes.end(),
                     [](const route& left, const route& right) { return left.name < right.name; });
}

} // namespace cyclamenhatch
