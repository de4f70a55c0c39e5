#include "call/gate_queue.h"

#include "call/owner_shares.h"

#include <algorithm>
#include <iterator>

namespace cyclamenhatch::call {
namespace {

/// Weight in a full queue of an owner that reserved nothing.
constexpr double unreserved_weight = 0.25;

double queue_share(const owner_share& share, std::uint32_t more) {
    return (share.queued + more) /
           std::max(unreserved_weight, static_cast<double>(share.reserved_slots));
}

} // namespace

void push(gate_queue& queue, owner_shares& shares, const owner_id& owner, const waiting_call& call,
          queue_position position) {
    position.number = queue.next_number++;
    queue.by_owner[owner].emplace(position, call);
    ++queue.size;
    ++shares.owners[owner].queued;
}

void remove(gate_queue& queue, owner_shares& shares, const queued_call& call) {
    const auto owner = queue.by_owner.find(call.owner);
    owner->second.erase(call.place);
    --queue.size;
    --shares.owners[call.owner].queued;
    if (owner->second.empty()) {
        queue.by_owner.erase(owner);
    }
}

queued_call find_next(gate_queue& queue, owner_shares& shares) {
    const auto next = std::min_element(
        queue.by_owner.begin(), queue.by_owner.end(), [&](const auto& left, const auto& right) {
            return used_ratio(shares.owners[left.first]) < used_ratio(shares.owners[right.first]);
        });
    return {next->first, next->second.begin()};
}

std::optional<queued_call> find_overdue(gate_queue& queue, instant now) {
    std::optional<queued_call> longest;
    for (auto& [owner, calls] : queue.by_owner) {
        for (auto it = calls.begin(); it != calls.end(); ++it) {
            const auto since = it->second.overdue_at;
            if (since <= now && (!longest || since < longest->place->second.overdue_at)) {
                longest = queued_call{owner, it};
            }
        }
    }
    return longest;
}

std::optional<queued_call> find_displaced(gate_queue& queue, owner_shares& shares,
                                          const owner_id& new_call_owner,
                                          const queue_position& position) {
    const auto share = [&](const owner_id& owner) { return queue_share(shares.owners[owner], 0); };
    const auto most = std::max_element(queue.by_owner.begin(), queue.by_owner.end(),
                                       [&](const auto& left, const auto& right) {
                                           return share(left.first) < share(right.first);
                                       });
    if (most == queue.by_owner.end()) {
        return std::nullopt;
    }
    const auto last = std::prev(most->second.end());
    const bool may_displace =
        most->first == new_call_owner
            ? position < last->first
            : share(most->first) > queue_share(shares.owners[new_call_owner], 1);
    return may_displace ? std::optional(queued_call{most->first, last}) : std::nullopt;
}

std::optional<queued_call> find_queued(gate_queue& queue, const call_id& call) {
    for (auto& [owner, calls] : queue.by_owner) {
        const auto it = std::find_if(calls.begin(), calls.end(),
                                     [&](const auto& entry) { return entry.second.call == call; });
        if (it != calls.end()) {
            return queued_call{owner, it};
        }
    }
    return std::nullopt;
}

std::vector<queued_call> list_in_order(gate_queue& queue) {
    std::vector<queued_call> all;
    all.reserve(queue.size);
    for (auto& [owner, calls] : queue.by_owner) {
        for (auto it = calls.begin(); it != calls.end(); ++it) {
            all.push_back({owner, it});
        }
    }
    std::sort(all.begin(), all.end(), [](const queued_call& left, const queued_call& right) {
        return left.place->first < right.place->first;
    });
    return all;
}

work_ahead sum_work_ahead(const gate_queue& queue, const queue_position& position) {
    work_ahead sum;
    for (const auto& [owner, calls] : queue.by_owner) {
        for (auto it = calls.begin(); it != calls.end() && it->first < position; ++it) {
            ++sum.calls;
            sum.run_time += it->second.run_time;
        }
    }
    return sum;
}

std::vector<queued_call> find_expired(gate_queue& queue, instant latest) {
    std::vector<queued_call> expired;
    for (auto& [owner, calls] : queue.by_owner) {
        for (auto it = calls.begin(); it != calls.end(); ++it) {
            if (it->second.deadline <= latest) {
                expired.push_back({owner, it});
            }
        }
    }
    return expired;
}

} // namespace cyclamenhatch::call
