#include "membership/prober.h"

#include "membership/record_merge.h"
#include "membership/updates.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::membership {
namespace {

constexpr milliseconds relay_timeout{2000};
/// A probe fails after this many timeouts: one for the direct way, two for the indirect one.
constexpr int timeouts_to_failure = 3;

milliseconds probe_timeout(const table& state) {
    return milliseconds{state.settings.probe_timeout_ms};
}

milliseconds failure_timeout(const table& state) {
    return std::max(milliseconds{state.settings.probe_interval_ms},
                    probe_timeout(state) * timeouts_to_failure);
}

outgoing address_to(const table& state, const node_id& to, peer_message message) {
    const auto* record = find_record(state, to);
    return {.to = to,
            .address = record == nullptr ? peer_address{} : link_address(*record),
            .message = std::move(message)};
}

msg::probe_msg make_probe(table& state, const node_id& to) {
    msg::probe_msg probe;
    probe.sequence = state.next_sequence++;
    probe.updates = take_updates(state, to);
    // Its own record makes the sender known to a receiver that has missed it.
    probe.updates.push_back(std::make_unique<msg::member_record_msg>(state.self));
    return probe;
}

void ask_others(table& state, const probe_in_flight& probe, random_source& random,
                std::vector<outgoing>& sends) {
    for (const auto* helper : choose_members(state, state.settings.indirect_probes, random)) {
        if (helper->node == probe.target.value) {
            continue;
        }
        const node_id to{helper->node};
        msg::probe_msg request;
        request.sequence = probe.sequence;
        request.target = probe.target.value;
        request.updates = take_updates(state, to);
        sends.push_back(address_to(state, to, std::move(request)));
    }
}

void suspect(table& state, const node_id& target, instant now) {
    const auto found = state.members.find(target);
    if (found == state.members.end() || !is_live(found->second.record)) {
        return;
    }
    found->second.is_own_suspicion = true;
    set_liveness(state, found->second, msg::liveness::suspect, now);
}

void time_out_probes(table& state, instant now, random_source& random,
                     std::vector<outgoing>& sends) {
    std::vector<node_id> failed;
    for (auto& each : state.probes) {
        const auto waited = now - each.sent;
        if (waited >= failure_timeout(state)) {
            failed.push_back(each.target);
        } else if (!each.is_indirect && waited >= probe_timeout(state)) {
            each.is_indirect = true;
            ask_others(state, each, random, sends);
        }
    }
    std::erase_if(state.probes, [&](const probe_in_flight& each) {
        return now - each.sent >= failure_timeout(state);
    });
    std::erase_if(state.relayed,
                  [&](const relayed_probe& each) { return now - each.sent >= relay_timeout; });
    for (const auto& target : failed) {
        suspect(state, target, now);
    }
}

void end_suspicions(table& state, instant now) {
    const milliseconds limit{state.settings.suspicion_ms};
    for (auto& [node, each] : state.members) {
        if (each.record.state != msg::liveness::suspect || now - each.since < limit) {
            continue;
        }
        each.record.state = msg::liveness::dead;
        each.since = now;
        ++state.generation;
        // The suspicion has reached the others before; their own timers end it too.
        if (each.is_own_suspicion) {
            queue_update(state, node);
        }
    }
}

void forget_tombstones(table& state, instant now) {
    const seconds kept{state.settings.tombstone_s};
    const auto forgotten = std::erase_if(state.members, [&](const auto& each) {
        return !is_live(each.second.record) && now - each.second.since >= kept;
    });
    state.generation += forgotten > 0 ? 1 : 0;
}

void refill_order(table& state, random_source& random) {
    state.probe_order.clear();
    state.probe_position = 0;
    for (const auto& [node, each] : state.members) {
        if (is_live(each.record)) {
            state.probe_order.push_back(node);
        }
    }
    std::shuffle(state.probe_order.begin(), state.probe_order.end(), random);
}

/// The next live member in the shuffled order; empty when there is none.
node_id next_target(table& state, random_source& random) {
    for (int round = 0; round < 2; ++round) {
        while (state.probe_position < state.probe_order.size()) {
            const auto& candidate = state.probe_order[state.probe_position++];
            const auto found = state.members.find(candidate);
            if (found != state.members.end() && is_live(found->second.record)) {
                return candidate;
            }
        }
        refill_order(state, random);
    }
    return {};
}

void start_probe(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    if (now < state.next_probe) {
        return;
    }
    state.next_probe = now + milliseconds{state.settings.probe_interval_ms};
    const auto target = next_target(state, random);
    if (target.empty()) {
        return;
    }
    auto probe = make_probe(state, target);
    state.probes.push_back({.sequence = probe.sequence, .target = target, .sent = now});
    sends.push_back(address_to(state, target, std::move(probe)));
}

} // namespace

void tick_probes(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    time_out_probes(state, now, random, sends);
    end_suspicions(state, now);
    forget_tombstones(state, now);
    start_probe(state, now, random, sends);
}

void answer_probe(table& state, const node_id& from, const msg::probe_msg& probe, instant now,
                  std::vector<outgoing>& sends) {
    if (probe.target.empty() || probe.target == state.self.node) {
        msg::probe_ack_msg answer;
        answer.sequence = probe.sequence;
        answer.updates = take_updates(state, from);
        sends.push_back(address_to(state, from, std::move(answer)));
        return;
    }
    const node_id target{probe.target};
    if (find_record(state, target) == nullptr) {
        return;
    }
    auto passed_on = make_probe(state, target);
    state.relayed.push_back({.sequence = passed_on.sequence,
                             .original_sequence = probe.sequence,
                             .asker = from,
                             .target = target,
                             .sent = now});
    sends.push_back(address_to(state, target, std::move(passed_on)));
}

void settle_probe(table& state, const node_id& from, const msg::probe_ack_msg& answer,
                  std::vector<outgoing>& sends) {
    const node_id answered = answer.target.empty() ? from : node_id{answer.target};
    std::erase_if(state.probes, [&](const probe_in_flight& each) {
        return each.sequence == answer.sequence && each.target == answered;
    });
    const auto relay =
        std::find_if(state.relayed.begin(), state.relayed.end(), [&](const relayed_probe& each) {
            return each.sequence == answer.sequence && each.target == from;
        });
    if (relay == state.relayed.end()) {
        return;
    }
    msg::probe_ack_msg passed_on;
    passed_on.sequence = relay->original_sequence;
    passed_on.target = from.value;
    passed_on.updates = take_updates(state, relay->asker);
    sends.push_back(address_to(state, relay->asker, std::move(passed_on)));
    state.relayed.erase(relay);
}

outgoing make_free_probe(table& state, const node_id& to) {
    return address_to(state, to, make_probe(state, to));
}

void reset_probes(table& state, instant now) {
    state.probes.clear();
    state.relayed.clear();
    for (auto& [node, each] : state.members) {
        if (each.record.state == msg::liveness::suspect) {
            each.since = now;
        }
    }
}

} // namespace cyclamenhatch::membership
