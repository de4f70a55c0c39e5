#include "membership/pick_members.h"

#include <algorithm>
#include <random>

namespace cyclamenhatch::membership {

std::vector<const msg::member_record_msg*> pick_members(const table& members, std::size_t count,
                                                        random_source& random) {
    auto live = live_records(members);
    std::erase_if(live, [&](const auto* member) { return member->node == members.self.node; });
    const std::size_t picked = std::min(count, live.size());
    for (std::size_t i = 0; i < picked; ++i) {
        std::uniform_int_distribution<std::size_t> index(i, live.size() - 1);
        std::swap(live[i], live[index(random)]);
    }
    live.resize(picked);
    return live;
}

} // namespace cyclamenhatch::membership
