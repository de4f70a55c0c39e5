#include "membership/prober.h"

#include "membership/record_merge.h"
#include "membership/updates.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::membership {
namespace {

constexpr milliseconds relay_timeout{2000};
/// A probe fails after this many timeouts: one for the direct probe, two for the indirect ones.
constexpr int timeouts_to_failure = 3;

milliseconds probe_timeout(const table& state) {
    return milliseconds{state.settings.probe_timeout_ms};
}

milliseconds failure_timeout(const table& state) {
    return std::max(milliseconds{state.settings.probe_interval_ms},
                    probe_timeout(state) * timeouts_to_failure);
}

outgoing make_outgoing(const table& state, const node_id& receiver, peer_message message) {
    const auto* record = find_record(state, receiver);
    return {.to = receiver,
            .address = record == nullptr ? peer_address{} : link_address(*record),
            .message = std::move(message)};
}

msg::probe_msg make_probe(table& state, const node_id& receiver) {
    msg::probe_msg probe;
    probe.sequence = state.next_sequence++;
    probe.updates = take_updates(state, receiver);
    // Includes its own record for receivers that do not know the sender yet.
    probe.updates.push_back(std::make_unique<msg::member_record_msg>(state.self));
    return probe;
}

void send_indirect_probes(table& state, const probe_in_flight& probe, random_source& random,
                          std::vector<outgoing>& sends) {
    for (const auto* helper : choose_members(state, state.settings.indirect_probes, random)) {
        if (helper->node == probe.target.value) {
            continue;
        }
        const node_id receiver{helper->node};
        msg::probe_msg request;
        request.sequence = probe.sequence;
        request.target = probe.target.value;
        request.updates = take_updates(state, receiver);
        sends.push_back(make_outgoing(state, receiver, std::move(request)));
    }
}

void suspect(table& state, const node_id& target, instant now) {
    const auto it = state.members.find(target);
    if (it == state.members.end() || !is_live(it->second.record)) {
        return;
    }
    it->second.is_own_suspicion = true;
    set_liveness(state, it->second, msg::liveness::suspect, now);
}

void time_out_probes(table& state, instant now, random_source& random,
                     std::vector<outgoing>& sends) {
    std::vector<node_id> failed;
    for (auto& probe : state.probes) {
        const auto waited = now - probe.sent;
        if (waited >= failure_timeout(state)) {
            failed.push_back(probe.target);
        } else if (!probe.is_indirect && waited >= probe_timeout(state)) {
            probe.is_indirect = true;
            send_indirect_probes(state, probe, random, sends);
        }
    }
    std::erase_if(state.probes, [&](const probe_in_flight& probe) {
        return now - probe.sent >= failure_timeout(state);
    });
    std::erase_if(state.relayed_probes, [&](const relayed_probe& relayed) {
        return now - relayed.sent >= relay_timeout;
    });
    for (const auto& target : failed) {
        suspect(state, target, now);
    }
}

void end_suspicions(table& state, instant now) {
    const milliseconds limit{state.settings.suspicion_ms};
    for (auto& [node, other] : state.members) {
        if (other.record.state != msg::liveness::suspect || now - other.since < limit) {
            continue;
        }
        other.record.state = msg::liveness::dead;
        other.since = now;
        ++state.generation;
        // Others have received the suspicion earlier; their own timers end it too.
        if (other.is_own_suspicion) {
            queue_update(state, node);
        }
    }
}

void forget_tombstones(table& state, instant now) {
    const seconds retention{state.settings.tombstone_s};
    const auto forgotten = std::erase_if(state.members, [&](const auto& other) {
        return !is_live(other.second.record) && now - other.second.since >= retention;
    });
    state.generation += forgotten > 0 ? 1 : 0;
}

void refill_order(table& state, random_source& random) {
    state.probe_order.clear();
    state.probe_position = 0;
    for (const auto& [node, other] : state.members) {
        if (is_live(other.record)) {
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
            const auto it = state.members.find(candidate);
            if (it != state.members.end() && is_live(it->second.record)) {
                return candidate;
            }
        }
        refill_order(state, random);
    }
    return {};
}

void start_probe(table& state, const node_id& target, instant now, std::vector<outgoing>& sends) {
    auto probe = make_probe(state, target);
    state.probes.push_back({.sequence = probe.sequence, .target = target, .sent = now});
    sends.push_back(make_outgoing(state, target, std::move(probe)));
}

/// Probes the member whose turn it is and those that are attended.
void start_probes(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    if (now < state.next_probe) {
        return;
    }
    state.next_probe = now + milliseconds{state.settings.probe_interval_ms};
    const auto target = next_target(state, random);
    if (!target.empty()) {
        start_probe(state, target, now, sends);
    }
    for (const auto& attended : state.attended) {
        const auto it = state.members.find(attended);
        if (attended != target && it != state.members.end() && is_live(it->second.record)) {
            start_probe(state, attended, now, sends);
        }
    }
}

} // namespace

void tick_probes(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    time_out_probes(state, now, random, sends);
    end_suspicions(state, now);
    forget_tombstones(state, now);
    start_probes(state, now, random, sends);
}

void answer_probe(table& state, const node_id& sender, const msg::probe_msg& probe, instant now,
                  std::vector<outgoing>& sends) {
    if (probe.target.empty() || probe.target == state.self.node) {
        msg::probe_ack_msg answer;
        answer.sequence = probe.sequence;
        answer.updates = take_updates(state, sender);
        sends.push_back(make_outgoing(state, sender, std::move(answer)));
        return;
    }
    const node_id target{probe.target};
    if (find_record(state, target) == nullptr) {
        return;
    }
    auto forwarded = make_probe(state, target);
    state.relayed_probes.push_back({.sequence = forwarded.sequence,
                                    .original_sequence = probe.sequence,
                                    .requester = sender,
                                    .target = target,
                                    .sent = now});
    sends.push_back(make_outgoing(state, target, std::move(forwarded)));
}

void settle_probe(table& state, const node_id& sender, const msg::probe_ack_msg& answer,
                  std::vector<outgoing>& sends) {
    const node_id answered = answer.target.empty() ? sender : node_id{answer.target};
    std::erase_if(state.probes, [&](const probe_in_flight& probe) {
        return probe.sequence == answer.sequence && probe.target == answered;
    });
    const auto relay =
        std::find_if(state.relayed_probes.begin(), state.relayed_probes.end(),
                     [&](const relayed_probe& relayed) {
                         return relayed.sequence == answer.sequence && relayed.target == sender;
                     });
    if (relay == state.relayed_probes.end()) {
        return;
    }
    msg::probe_ack_msg forwarded;
    forwarded.sequence = relay->original_sequence;
    forwarded.target = sender.value;
    forwarded.updates = take_updates(state, relay->requester);
    sends.push_back(make_outgoing(state, relay->requester, std::move(forwarded)));
    state.relayed_probes.erase(relay);
}

outgoing make_untracked_probe(table& state, const node_id& receiver) {
    return make_outgoing(state, receiver, make_probe(state, receiver));
}

void reset_probes(table& state, instant now) {
    state.probes.clear();
    state.relayed_probes.clear();
    for (auto& [node, other] : state.members) {
        if (other.record.state == msg::liveness::suspect) {
            other.since = now;
        }
    }
}

} // namespace cyclamenhatch::membership
