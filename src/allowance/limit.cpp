#include "allowance/limit.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cyclamenhatch::allowance {
namespace {

/// Share of the excess that loans from before a window may take in it.
constexpr double loan_share = 0.3;
/// Shorter loans would end on their way.
constexpr microseconds shortest_loan{50'000};
constexpr microseconds longest_loan{500'000};
/// Share of the slack that belongs to entries without a keeper.
constexpr double fixed_share = 0.5;

std::uint64_t hash_of(const workspace_id& name) {
    return membership::stable_hash(name.value);
}

std::uint64_t rank_of(const node_id& node, std::uint64_t name_hash) {
    return membership::stable_hash(node.value, name_hash);
}

} // namespace

rules read_rules(const msg::settings_msg& settings) {
    if (!settings.allowance) {
        return {};
    }
    return {.window = milliseconds{settings.allowance->window_ms},
            .excess_share = settings.allowance->excess_share,
            .slack = static_cast<double>(settings.allowance->slack)};
}

microseconds loan_lifetime(const rules& stated) {
    const auto time = static_cast<double>(stated.window.count()) * stated.excess_share * loan_share;
    return std::clamp(microseconds{std::llround(time)}, shortest_loan, longest_loan);
}

std::optional<limit> find_limit(const snapshot& config, const workspace_id& name) {
    if (name.empty() || !config.fleet) {
        return std::nullopt;
    }
    const auto& all = config.fleet->content.workspaces;
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const workspace& item) { return item.name == name; });
    if (found == all.end() || !(found->calls_per_s > 0)) {
        return std::nullopt;
    }
    return limit{.calls_per_s = found->calls_per_s, .burst = std::max(0.0, found->burst)};
}

bool ranks_before(const node_id& first, const node_id& second, const workspace_id& name) {
    const auto name_hash = hash_of(name);
    const auto left = rank_of(first, name_hash);
    const auto right = rank_of(second, name_hash);
    return left != right ? left > right : first < second;
}

const call::peer* find_keeper(const std::vector<call::peer>& live, const workspace_id& name) {
    const auto name_hash = hash_of(name);
    const call::peer* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const auto& candidate : live) {
        const auto rank = rank_of(candidate.node, name_hash);
        const bool is_better = best == nullptr || rank > best_rank ||
                               (rank == best_rank && candidate.node < best->node);
        if (is_better) {
            best = &candidate;
            best_rank = rank;
        }
    }
    return best;
}

std::size_t fixed_part(const rules& stated, const std::vector<call::peer>& live,
                       const node_id& self, const workspace_id& name) {
    const auto whole = static_cast<std::size_t>(std::max(0.0, stated.slack * fixed_share));
    const auto nodes = std::max<std::size_t>(1, live.size());
    if (whole >= nodes) {
        return whole / nodes;
    }
    const auto before = std::count_if(live.begin(), live.end(), [&](const call::peer& other) {
        return other.node != self && ranks_before(other.node, self, name);
    });
    return static_cast<std::size_t>(before) < whole ? 1 : 0;
}

} // namespace cyclamenhatch::allowance
