#include "model/resources.h"

#include <algorithm>

namespace cyclamenhatch {

const move* find_open_move(const section& part) {
    const auto found = std::find_if(part.moves.begin(), part.moves.end(),
                                    [](const move& each) { return !each.ending.has_value(); });
    return found == part.moves.end() ? nullptr : &*found;
}

void sort_routes(section& part) {
    std::stable_sort(part.routes.begin(), part.routes.end(),
                     [](const route& left, const route& right) { return left.name < right.name; });
}

} // namespace cyclamenhatch
