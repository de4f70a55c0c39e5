#include "membership/updates.h"

#include "membership/record_merge.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace cyclamenhatch::membership {
namespace {

constexpr std::uint32_t retransmit_factor = 3;
constexpr std::size_t push_fan_out = 3;
/// Rounds of eager pushes that each node makes for one update; the rest rides on probes.
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
    const std::chrono::duration<double> passed = now - state.push_refilled;
    state.push_refilled = now;
    state.push_budget_bytes =
        std::min(push_burst_bytes, state.push_budget_bytes + passed.count() * push_bytes_per_s);
}

std::unique_ptr<msg::member_record_msg> copy_record(const table& state, const node_id& node) {
    const auto* record = find_record(state, node);
    return record == nullptr ? nullptr : std::make_unique<msg::member_record_msg>(*record);
}

/// Sorts the `count` updates sent least to the front.
void sort_least_sent(table& state, std::size_t count) {
    const auto kept = std::min(count, state.updates.size());
    std::partial_sort(
        state.updates.begin(), state.updates.begin() + static_cast<std::ptrdiff_t>(kept),
        state.updates.end(), [](const pending_update& left, const pending_update& right) {
            return left.times_sent < right.times_sent;
        });
}

/// Calls must stop going to this member.
bool is_urgent(const table& state, const node_id& about) {
    const auto* record = find_record(state, about);
    if (record == nullptr) {
        return false;
    }
    const auto upstream = record->upstream ? record->upstream->state : msg::upstream_state::none;
    return !is_live(*record) || upstream == msg::upstream_state::draining ||
           upstream == msg::upstream_state::gone;
}

/// Eager rounds that an update gets. While the budget is low, the first rounds of a new update go
/// before the repetition of older ones; once it is used up, only urgent ones are pushed.
std::uint32_t allowed_rounds(const table& state, const node_id& about) {
    if (state.push_budget_bytes > push_burst_bytes / 2 || is_urgent(state, about)) {
        return push_rounds;
    }
    return state.push_budget_bytes < message_overhead_bytes + record_bytes ? 0 : low_budget_rounds;
}

/// The updates whose eager rounds are not over, least sent first; bounded.
std::vector<node_id> choose_pushed(table& state) {
    sort_least_sent(state, state.settings.updates_per_message);
    std::vector<node_id> chosen;
    for (auto& each : state.updates) {
        if (chosen.size() >= state.settings.updates_per_message) {
            break;
        }
        if (each.times_pushed < allowed_rounds(state, each.about)) {
            chosen.push_back(each.about);
        }
    }
    return chosen;
}

void count_push(table& state, const std::vector<node_id>& pushed, std::size_t receivers) {
    for (auto& each : state.updates) {
        if (std::find(pushed.begin(), pushed.end(), each.about) != pushed.end()) {
            ++each.times_pushed;
            each.times_sent += static_cast<std::uint32_t>(receivers);
        }
    }
}

} // namespace

void queue_update(table& state, const node_id& about) {
    const auto found =
        std::find_if(state.updates.begin(), state.updates.end(),
                     [&](const pending_update& each) { return each.about == about; });
    if (found != state.updates.end()) {
        *found = {.about = about};
        return;
    }
    state.updates.push_back({.about = about});
}

record_list take_updates(table& state, const node_id& to) {
    record_list taken;
    const auto receiver = state.members.find(to);
    if (receiver != state.members.end() && receiver->second.record.state != msg::liveness::alive) {
        taken.push_back(copy_record(state, to));
    }
    sort_least_sent(state, state.settings.updates_per_message);
    for (auto& each : state.updates) {
        if (taken.size() >= state.settings.updates_per_message) {
            break;
        }
        ++each.times_sent;
        if (auto record = copy_record(state, each.about); record && each.about != to) {
            taken.push_back(std::move(record));
        }
    }
    const auto limit = send_limit(state);
    std::erase_if(state.updates,
                  [&](const pending_update& each) { return each.times_sent >= limit; });
    return taken;
}

void push_updates(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    refill_budget(state, now);
    if (state.updates.empty() || state.push_budget_bytes < -push_burst_bytes) {
        return;
    }
    const auto pushed = choose_pushed(state);
    const auto receivers = choose_members(state, push_fan_out, random);
    if (pushed.empty() || receivers.empty()) {
        return;
    }
    for (const auto* receiver : receivers) {
        record_list updates;
        for (const auto& about : pushed) {
            if (auto record = copy_record(state, about); record && about.value != receiver->node) {
                updates.push_back(std::move(record));
            }
        }
        state.push_budget_bytes -=
            message_overhead_bytes + record_bytes * static_cast<double>(updates.size());
        sends.push_back(make_push(*receiver, std::move(updates)));
    }
    count_push(state, pushed, receivers.size());
}

outgoing make_push(const msg::member_record_msg& to, record_list updates) {
    msg::probe_ack_msg push;
    push.updates = std::move(updates);
    return {.to = node_id{to.node}, .address = link_address(to), .message = std::move(push)};
}

std::vector<const msg::member_record_msg*> choose_members(const table& state, std::size_t count,
                                                          random_source& random) {
    std::vector<const msg::member_record_msg*> chosen;
    std::size_t seen = 0;
    // Reservoir sampling: one pass, each live member equally likely.
    for (const auto& [node, each] : state.members) {
        if (!is_live(each.record)) {
            continue;
        }
        ++seen;
        if (chosen.size() < count) {
            chosen.push_back(&each.record);
            continue;
        }
        const auto slot = random() % seen;
        if (slot < count) {
            chosen[slot] = &each.record;
        }
    }
    return chosen;
}

} // namespace cyclamenhatch::membership
