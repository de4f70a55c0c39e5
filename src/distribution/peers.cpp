#include "distribution/peers.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::distribution {
namespace {

using record_list = std::vector<const msg::member_record_msg*>;

/// Takes the next member on the hash ring out of `from` and adds it to `chosen`.
void take_successor(record_list& from, std::uint64_t own_position, record_list& chosen) {
    const auto distance = [&](const msg::member_record_msg* each) {
        return membership::stable_hash(each->node) - own_position;
    };
    const auto next =
        std::min_element(from.begin(), from.end(), [&](const auto* left, const auto* right) {
            return distance(left) < distance(right);
        });
    if (next != from.end()) {
        chosen.push_back(*next);
        from.erase(next);
    }
}

/// The members with the lowest hash of the pair with this node.
void take_lowest(record_list from, std::size_t count, std::uint64_t own_position,
                 record_list& chosen) {
    const auto kept = std::min(count, from.size());
    const auto rank = [&](const msg::member_record_msg* each) {
        return std::pair{membership::stable_hash(each->node, own_position), each->node};
    };
    std::partial_sort(
        from.begin(), from.begin() + static_cast<std::ptrdiff_t>(kept), from.end(),
        [&](const auto* left, const auto* right) { return rank(left) < rank(right); });
    chosen.insert(chosen.end(), from.begin(), from.begin() + static_cast<std::ptrdiff_t>(kept));
}

void take_targets(record_list from, std::size_t count, std::uint64_t own_position,
                  record_list& chosen) {
    if (count == 0) {
        return;
    }
    take_successor(from, own_position, chosen);
    take_lowest(std::move(from), count - 1, own_position, chosen);
}

} // namespace

std::vector<const msg::member_record_msg*> push_targets(const membership::table& members,
                                                        std::size_t within, std::size_t across) {
    const auto own_position = membership::stable_hash(members.self.node);
    record_list local;
    record_list remote;
    for (const auto& [node, each] : members.members) {
        if (each.record.state != msg::liveness::alive) {
            continue;
        }
        const bool is_local = each.record.data_centre == members.self.data_centre;
        (is_local ? local : remote).push_back(&each.record);
    }
    record_list chosen;
    take_targets(std::move(local), within, own_position, chosen);
    take_targets(std::move(remote), across, own_position, chosen);
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
