#include "move/reports.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace cyclamenhatch::moves {

const route_id& rest_of_routes() {
    static const route_id rest;
    return rest;
}

std::uint32_t fold_routes(std::map<route_id, route_totals>& routes, std::size_t most) {
    const std::size_t listed = routes.size() - routes.count(rest_of_routes());
    if (listed <= most) {
        return 0;
    }
    std::vector<std::map<route_id, route_totals>::iterator> ranked;
    ranked.reserve(listed);
    for (auto it = routes.begin(); it != routes.end(); ++it) {
        if (it->first != rest_of_routes()) {
            ranked.push_back(it);
        }
    }
    const auto rank = [](const auto& it) {
        return std::tuple(it->second.new_calls, it->second.old_calls);
    };
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&](const auto& left, const auto& right) { return rank(left) > rank(right); });
    route_totals& rest = routes[rest_of_routes()];
    std::uint32_t cut = 0;
    for (std::size_t i = most; i < ranked.size(); ++i) {
        add_totals(rest, ranked[i]->second);
        cut += ranked[i]->second.new_calls > 0 ? 1 : 0;
        routes.erase(ranked[i]);
    }
    rest.new_latency = {};
    rest.old_latency = {};
    return cut;
}

} // namespace cyclamenhatch::moves
