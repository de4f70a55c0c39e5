#include "membership/duty.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::membership {

namespace {

using record_list = std::vector<const msg::member_record_msg*>;

record_list live_candidates(const table& state, const data_centre_id& data_centre) {
    auto live = live_records(state);
    std::erase_if(live, [&](const auto* record) {
        return !data_centre.empty() && record->data_centre != data_centre.value;
    });
    return live;
}

/// The `count` highest-ranked of these, best first.
std::vector<node_id> rank(const record_list& candidates, std::string_view duty, std::size_t count) {
    const auto duty_hash = stable_hash(duty);
    std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
    ranked.reserve(candidates.size());
    for (const auto* record : candidates) {
        ranked.emplace_back(stable_hash(record->node, duty_hash), &record->node);
    }
    const auto limit = std::min(count, ranked.size());
    const auto is_higher = [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(limit),
                      ranked.end(), is_higher);
    std::vector<node_id> holders;
    for (std::size_t i = 0; i < limit; ++i) {
        holders.emplace_back(*ranked[i].second);
    }
    return holders;
}

/// Whether a member is suspected to have failed, or states that it cannot reach the store.
bool is_unable_at_store(const msg::member_record_msg& record) {
    return record.store_away || record.state == msg::liveness::suspect;
}

bool is_among(const std::vector<node_id>& holders, const table& state) {
    return std::any_of(holders.begin(), holders.end(),
                       [&](const node_id& holder) { return holder.value == state.self.node; });
}

} // namespace

std::vector<node_id> duty_holders(const table& state, std::string_view duty, std::size_t count,
                                  const data_centre_id& data_centre) {
    return rank(live_candidates(state, data_centre), duty, count);
}

bool has_duty(const table& state, std::string_view duty, std::size_t count,
              const data_centre_id& data_centre) {
    return is_among(duty_holders(state, duty, count, data_centre), state);
}

bool has_store_duty(const table& state, std::string_view duty, std::size_t count,
                    const data_centre_id& data_centre) {
    const auto all = live_candidates(state, data_centre);
    auto able = all;
    std::erase_if(able, [](const auto* record) { return is_unable_at_store(*record); });
    return is_among(rank(able.empty() ? all : able, duty, count), state);
}

std::size_t count_store_away(const table& state, const data_centre_id& data_centre) {
    const auto others = live_candidates(state, data_centre);
    return static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(), [&](const auto* record) {
            return record->store_away && record->node != state.self.node;
        }));
}

std::vector<node_id> list_predecessors(const table& state, std::string_view duty, std::size_t count,
                                       std::size_t standbys, const data_centre_id& data_centre) {
    auto ranked = duty_holders(state, duty, count + standbys, data_centre);
    const auto own = std::find(ranked.begin(), ranked.end(), node_id{state.self.node});
    if (own == ranked.end()) {
        return {};
    }
    ranked.erase(own, ranked.end());
    return ranked;
}

bool has_unable_at_store(const table& state, const std::vector<node_id>& members) {
    return std::any_of(members.begin(), members.end(), [&](const node_id& node) {
        const auto* record = find_record(state, node);
        return record != nullptr && is_unable_at_store(*record);
    });
}

} // namespace cyclamenhatch::membership
