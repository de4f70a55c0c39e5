#include "control/control.h"
#include "control/steps.h"

#include <utility>

namespace cyclamenhatch::control {
namespace {

/// Share of the nodes, those included that were found dead lately, that are alive and not suspect.
double find_reachable_share(const state& self, instant now) {
    std::size_t reachable = 1;
    std::size_t known = 1;
    for (const auto& [node, other] : self.members.members) {
        const auto liveness = other.record.state;
        const bool is_recent_death =
            liveness == msg::liveness::dead && now - other.since < allowance::memory_of_dead;
        reachable += liveness == msg::liveness::alive ? 1 : 0;
        known += liveness == msg::liveness::alive || liveness == msg::liveness::suspect ||
                         is_recent_death
                     ? 1
                     : 0;
    }
    return static_cast<double>(reachable) / static_cast<double>(known);
}

void apply(actions& out, allowance::keeper_actions&& produced) {
    append(out.sends, std::move(produced.sends));
    append(out.logs, std::move(produced.logs));
}

/// Where the answer to a message goes: this node itself, or the link that it came by.
peer_address address_of(const state& self, const node_id& node) {
    const auto* record = membership::find_record(self.members, node);
    return record == nullptr ? peer_address{} : membership::link_address(*record);
}

} // namespace

std::vector<call::peer> list_peers(const state& self) {
    std::vector<call::peer> peers;
    for (const auto* record : membership::live_records(self.members)) {
        peers.push_back({node_id{record->node}, membership::link_address(*record)});
    }
    return peers;
}

void tick_allowances(state& self, instant now, actions& out) {
    const auto& config = self.distribution.config;
    if (self.allowances.kept.empty() && (!config || !requires_access_key(*config))) {
        return;
    }
    allowance::keeper_actions produced;
    const auto peers = list_peers(self);
    allowance::on_tick(self.allowances,
                       {.live = peers,
                        .reachable_share = find_reachable_share(self, now),
                        .config = config,
                        .has_joined = self.members.has_joined},
                       now, produced);
    apply(out, std::move(produced));
}

void pass_to_allowances(state& self, const incoming& received, instant now, actions& out) {
    allowance::keeper_actions produced;
    if (received.from != self.allowances.self) {
        allowance::note_heard(self.allowances, now);
    }
    if (auto answer = allowance::on_message(self.allowances, received, now, produced)) {
        out.sends.push_back({received.from, address_of(self, received.from), *std::move(answer)});
    }
    apply(out, std::move(produced));
}

} // namespace cyclamenhatch::control
