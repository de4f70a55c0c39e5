#include "model/resources.h"

#include <algorithm>

namespace cyclamenhatch {

const move* find_open_move(const section& part) {
    const auto found = std::find_if(part.moves.begin(), part.moves.end(),
                                    [](const move& each) { return !each.ending.has_value(); });
    return found == part.moves.end() ? nullptr : &*found;
}

} // namespace cyclamenhatch
