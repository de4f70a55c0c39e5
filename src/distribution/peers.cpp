#include "distribution/peers.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::distribution {
namespace {

using record_list = std::vector<const msg::member_record_msg*>;

/// Moves the next member on the hash ring from `candidates` to `chosen`.
void take_successor(record_list& candidates, std::uint64_t own_position, record_list& chosen) {
    const auto distance = [&](const msg::member_record_msg* record) {
        return membership::stable_hash(record->node) - own_position;
    };
    const auto next = std::min_element(
        candidates.begin(), candidates.end(),
        [&](const auto* left, const auto* right) { return distance(left) < distance(right); });
    if (next != candidates.end()) {
        chosen.push_back(*next);
        candidates.erase(next);
    }
}

/// Adds the `count` members with the lowest hash of their name, seeded with this node's position.
void take_lowest(record_list candidates, std::size_t count, std::uint64_t own_position,
                 record_list& chosen) {
    const auto limit = std::min(count, candidates.size());
    const auto rank = [&](const msg::member_record_msg* record) {
        return std::pair{membership::stable_hash(record->node, own_position), record->node};
    };
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(limit),
                      candidates.end(), [&](const auto* left, const auto* right) {
                          return rank(left) < rank(right);
                      });
    chosen.insert(chosen.end(), candidates.begin(),
                  candidates.begin() + static_cast<std::ptrdiff_t>(limit));
}

void take_targets(record_list candidates, std::size_t count, std::uint64_t own_position,
                  record_list& chosen) {
    if (count == 0) {
        return;
    }
    take_successor(candidates, own_position, chosen);
    take_lowest(std::move(candidates), count - 1, own_position, chosen);
}

} // namespace

std::vector<const msg::member_record_msg*>
push_targets(const membership::table& members, std::size_t local_count, std::size_t remote_count) {
    const auto own_position = membership::stable_hash(members.self.node);
    record_list local;
    record_list remote;
    for (const auto& [node, other] : members.members) {
        if (other.record.state != msg::liveness::alive) {
            continue;
        }
        const bool is_local = other.record.data_centre == members.self.data_centre;
        (is_local ? local : remote).push_back(&other.record);
    }
    record_list chosen;
    take_targets(std::move(local), local_count, own_position, chosen);
    take_targets(std::move(remote), remote_count, own_position, chosen);
    return chosen;
}

outgoing make_outgoing(const msg::member_record_msg& receiver, peer_message message) {
    return {.to = node_id{receiver.node},
            .address = membership::link_address(receiver),
            .message = std::move(message)};
}

outgoing make_outgoing(const membership::table& members, const node_id& receiver,
                       peer_message message) {
    const auto* record = membership::find_record(members, receiver);
    return {.to = receiver,
            .address = record == nullptr ? peer_address{} : membership::link_address(*record),
            .message = std::move(message)};
}

} // namespace cyclamenhatch::distribution
