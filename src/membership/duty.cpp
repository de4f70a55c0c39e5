#include "membership/duty.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::membership {

namespace {

using record_list = std::vector<const msg::member_record_msg*>;

record_list candidates(const table& state, const data_centre_id& within) {
    auto live = live_records(state);
    std::erase_if(live, [&](const auto* each) {
        return !within.empty() && each->data_centre != within.value;
    });
    return live;
}

/// The `count` highest-ranked of these, best first.
std::vector<node_id> rank(const record_list& among, std::string_view duty, std::size_t count) {
    const auto duty_hash = stable_hash(duty);
    std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
    ranked.reserve(among.size());
    for (const auto* record : among) {
        ranked.emplace_back(stable_hash(record->node, duty_hash), &record->node);
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

bool holds(const std::vector<node_id>& holders, const table& state) {
    return std::any_of(holders.begin(), holders.end(),
                       [&](const node_id& each) { return each.value == state.self.node; });
}

} // namespace

std::vector<node_id> duty_holders(const table& state, std::string_view duty, std::size_t count,
                                  const data_centre_id& within) {
    return rank(candidates(state, within), duty, count);
}

bool has_duty(const table& state, std::string_view duty, std::size_t count,
              const data_centre_id& within) {
    return holds(duty_holders(state, duty, count, within), state);
}

bool has_store_duty(const table& state, std::string_view duty, std::size_t count,
                    const data_centre_id& within) {
    const auto all = candidates(state, within);
    auto near = all;
    std::erase_if(near, [](const auto* each) { return each->store_away; });
    return holds(rank(near.empty() ? all : near, duty, count), state);
}

} // namespace cyclamenhatch::membership
