#include "membership/duty.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::membership {

std::vector<node_id> duty_holders(const table& state, std::string_view duty, std::size_t count,
                                  const data_centre_id& within) {
    const auto duty_hash = stable_hash(duty);
    std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
    for (const auto* record : live_records(state)) {
        if (within.empty() || record->data_centre == within.value) {
            ranked.emplace_back(stable_hash(record->node, duty_hash), &record->node);
        }
    }
    const auto kept = std::min(count, ranked.size());
    const auto is_higher = [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end(), is_higher);
    std::vector<node_id> holders;
    for (std::size_t i = 0; i < kept; ++i) {
        holders.emplace_back(*ranked[i].second);
    }
    return holders;
}

bool has_duty(const table& state, std::string_view duty, std::size_t count,
              const data_centre_id& within) {
    const auto holders = duty_holders(state, duty, count, within);
    return std::any_of(holders.begin(), holders.end(),
                       [&](const node_id& each) { return each.value == state.self.node; });
}

} // namespace cyclamenhatch::membership
