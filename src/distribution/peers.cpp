#include "distribution/peers.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenhatch::distribution {
namespace {

using ranked_member = std::pair<std::uint64_t, const msg::member_record_msg*>;

/// The members with the lowest ranks.
void take_lowest(std::vector<ranked_member>& ranked, std::size_t count,
                 std::vector<const msg::member_record_msg*>& chosen) {
    const auto kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end(), [](const auto& left, const auto& right) {
                          return std::tie(left.first, left.second->node) <
                                 std::tie(right.first, right.second->node);
                      });
    for (std::size_t i = 0; i < kept; ++i) {
        chosen.push_back(ranked[i].second);
    }
}

/// Takes the next member on the ring out of `local` and puts it first into `chosen`.
void take_successor(std::vector<const msg::member_record_msg*>& local, std::uint64_t own_position,
                    std::vector<const msg::member_record_msg*>& chosen) {
    const auto distance = [&](const msg::member_record_msg* each) {
        return membership::stable_hash(each->node) - own_position;
    };
    const auto next =
        std::min_element(local.begin(), local.end(), [&](const auto* left, const auto* right) {
            return distance(left) < distance(right);
        });
    if (next != local.end()) {
        chosen.push_back(*next);
        local.erase(next);
    }
}

} // namespace

std::vector<const msg::member_record_msg*> push_targets(const membership::table& members,
                                                        std::size_t within, std::size_t across) {
    const auto own_position = membership::stable_hash(members.self.node);
    std::vector<const msg::member_record_msg*> local;
    std::vector<ranked_member> remote;
    for (const auto& [node, each] : members.members) {
        if (each.record.state != msg::liveness::alive) {
            continue;
        }
        if (each.record.data_centre == members.self.data_centre) {
            local.push_back(&each.record);
        } else {
            remote.emplace_back(membership::stable_hash(each.record.node, own_position),
                                &each.record);
        }
    }
    std::vector<const msg::member_record_msg*> chosen;
    if (within > 0) {
        take_successor(local, own_position, chosen);
    }
    std::vector<ranked_member> ranked;
    ranked.reserve(local.size());
    for (const auto* each : local) {
        ranked.emplace_back(membership::stable_hash(each->node, own_position), each);
    }
    take_lowest(ranked, within > 0 ? within - 1 : 0, chosen);
    take_lowest(remote, across, chosen);
    return chosen;
}

outgoing send_to(const msg::member_record_msg& to, peer_message message) {
    return {.to = node_id{to.node},
            .address = membership::link_address(to),
            .message = std::move(message)};
}

outgoing send_to(const membership::table& members, const node_id& to, peer_message message) {
    const auto* record = membership::find_record(members, to);
    return {.to = to,
            .address = record == nullptr ? peer_address{} : membership::link_address(*record),
            .message = std::move(message)};
}

} // namespace cyclamenhatch::distribution
