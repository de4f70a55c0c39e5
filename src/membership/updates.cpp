#include "membership/updates.h"

#include "membership/record_merge.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace cyclamenhatch::membership {
namespace {

constexpr std::uint32_t retransmit_factor = 3;
constexpr std::size_t push_fan_out = 3;
/// Rounds of pushes that each node makes for one update; after that it is piggybacked on probes.
constexpr std::uint32_t push_rounds = 4;
constexpr std::uint32_t low_budget_rounds = 2;
constexpr double push_bytes_per_s = 5000;
constexpr double push_burst_bytes = 12'000;
constexpr double message_overhead_bytes = 120;
constexpr double record_bytes = 150;

std::uint32_t send_limit(const table& state) {
    const auto members = static_cast<std::uint32_t>(state.members.size() + 2);
    return retransmit_factor * static_cast<std::uint32_t>(std::bit_width(members));
}

void refill_budget(table& state, instant now) {
    const std::chrono::duration<double> elapsed = now - state.push_refilled;
    state.push_refilled = now;
    state.push_budget_bytes =
        std::min(push_burst_bytes, state.push_budget_bytes + elapsed.count() * push_bytes_per_s);
}

std::unique_ptr<msg::member_record_msg> copy_record(const table& state, const node_id& node) {
    const auto* record = find_record(state, node);
    return record == nullptr ? nullptr : std::make_unique<msg::member_record_msg>(*record);
}

/// Sorts the `count` least sent updates to the front.
void sort_least_sent(table& state, std::size_t count) {
    const auto limit = std::min(count, state.updates.size());
    std::partial_sort(
        state.updates.begin(), state.updates.begin() + static_cast<std::ptrdiff_t>(limit),
        state.updates.end(), [](const pending_update& left, const pending_update& right) {
            return left.times_sent < right.times_sent;
        });
}

/// Whether the update tells callers to stop sending calls to this member.
bool is_urgent(const table& state, const node_id& node) {
    const auto* record = find_record(state, node);
    if (record == nullptr) {
        return false;
    }
    const auto upstream = record->upstream ? record->upstream->state : msg::upstream_state::none;
    return !is_live(*record) || upstream == msg::upstream_state::draining ||
           upstream == msg::upstream_state::gone;
}

/// Number of push rounds for an update. While the budget is low, it is reduced, so that new updates
/// take precedence over the repetition of older ones; once it is used up, only urgent ones are
/// pushed.
std::uint32_t allowed_rounds(const table& state, const node_id& node) {
    if (state.push_budget_bytes > push_burst_bytes / 2 || is_urgent(state, node)) {
        return push_rounds;
    }
    return state.push_budget_bytes < message_overhead_bytes + record_bytes ? 0 : low_budget_rounds;
}

/// The nodes whose updates have push rounds left, least sent first; bounded.
std::vector<node_id> choose_push_nodes(table& state) {
    sort_least_sent(state, state.settings.updates_per_message);
    std::vector<node_id> chosen;
    for (auto& update : state.updates) {
        if (chosen.size() >= state.settings.updates_per_message) {
            break;
        }
        if (update.times_pushed < allowed_rounds(state, update.node)) {
            chosen.push_back(update.node);
        }
    }
    return chosen;
}

void count_push(table& state, const std::vector<node_id>& pushed, std::size_t receivers) {
    for (auto& update : state.updates) {
        if (std::find(pushed.begin(), pushed.end(), update.node) != pushed.end()) {
            ++update.times_pushed;
            update.times_sent += static_cast<std::uint32_t>(receivers);
        }
    }
}

} // namespace

void queue_update(table& state, const node_id& node) {
    const auto it = std::find_if(state.updates.begin(), state.updates.end(),
                                 [&](const pending_update& update) { return update.node == node; });
    if (it != state.updates.end()) {
        *it = {.node = node};
        return;
    }
    state.updates.push_back({.node = node});
}

record_list take_updates(table& state, const node_id& receiver_id) {
    record_list records;
    const auto receiver = state.members.find(receiver_id);
    if (receiver != state.members.end() && (receiver->second.record.state != msg::liveness::alive ||
                                            receiver->second.must_learn_leave)) {
        records.push_back(copy_record(state, receiver_id));
        receiver->second.must_learn_leave = false;
    }
    sort_least_sent(state, state.settings.updates_per_message);
    for (auto& update : state.updates) {
        if (records.size() >= state.settings.updates_per_message) {
            break;
        }
        ++update.times_sent;
        if (auto record = copy_record(state, update.node); record && update.node != receiver_id) {
            records.push_back(std::move(record));
        }
    }
    const auto limit = send_limit(state);
    std::erase_if(state.updates,
                  [&](const pending_update& update) { return update.times_sent >= limit; });
    return records;
}

void push_updates(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    refill_budget(state, now);
    if (state.updates.empty() || state.push_budget_bytes < -push_burst_bytes) {
        return;
    }
    const auto pushed = choose_push_nodes(state);
    const auto receivers = choose_members(state, push_fan_out, random);
    if (pushed.empty() || receivers.empty()) {
        return;
    }
    for (const auto* receiver : receivers) {
        record_list updates;
        for (const auto& node : pushed) {
            if (auto record = copy_record(state, node); record && node.value != receiver->node) {
                updates.push_back(std::move(record));
            }
        }
        state.push_budget_bytes -=
            message_overhead_bytes + record_bytes * static_cast<double>(updates.size());
        sends.push_back(make_push(*receiver, std::move(updates)));
    }
    count_push(state, pushed, receivers.size());
}

outgoing make_push(const msg::member_record_msg& receiver, record_list updates) {
    msg::probe_ack_msg push;
    push.updates = std::move(updates);
    return {.to = node_id{receiver.node},
            .address = link_address(receiver),
            .message = std::move(push)};
}

std::vector<const msg::member_record_msg*> choose_members(const table& state, std::size_t count,
                                                          random_source& random) {
    std::vector<const msg::member_record_msg*> chosen;
    std::size_t live_count = 0;
    // Reservoir sampling: one pass, each live member equally likely.
    for (const auto& [node, other] : state.members) {
        if (!is_live(other.record)) {
            continue;
        }
        ++live_count;
        if (chosen.size() < count) {
            chosen.push_back(&other.record);
            continue;
        }
        const auto slot = random() % live_count;
        if (slot < count) {
            chosen[slot] = &other.record;
        }
    }
    return chosen;
}

} // namespace cyclamenhatch::membership
