#include "move/topology.h"

#include "membership/duty.h"
#include "membership/stable_hash.h"

#include <algorithm>
#include <bit>

namespace cyclamenhatch::moves {

namespace {

/// Members below which a single veto is enough.
constexpr std::size_t min_members_for_second = 3;
constexpr std::size_t group_size = 32;
/// Reports per shortest interval that a receiver takes without slowing the reporters down.
constexpr std::size_t relaxed_fan_in = 16;

std::size_t count_groups(std::size_t members_in_data_centre) {
    return std::bit_ceil((members_in_data_centre + group_size - 1) / group_size);
}

void count_slots(topology& topo, const msg::member_record_msg& record, const move& planned) {
    if (!record.upstream || record.upstream->state != msg::upstream_state::ready ||
        record.upstream->service != planned.service.value) {
        return;
    }
    const std::uint32_t slots = std::max(record.upstream->slots, 1U);
    if (record.upstream->version == planned.new_version.value) {
        topo.ready.on_new += slots;
    } else if (planned.old_version.empty() ||
               record.upstream->version == planned.old_version.value) {
        topo.ready.on_old += slots;
    }
}

} // namespace

topology make_topology(const membership::table& members, const snapshot_ptr& config,
                       const attempt_key& key, const move& planned) {
    topology topo{.generation = members.generation, .config = config};
    topo.controllers = membership::duty_holders(
        members, "move/" + key.service.value + "/" + key.name.value, report_controllers);
    const auto live = membership::live_records(members);
    std::map<std::string, std::size_t> per_data_centre;
    for (const auto* record : live) {
        if (!config || !is_evacuated(*config, data_centre_id(record->data_centre))) {
            count_slots(topo, *record, planned);
        }
        ++per_data_centre[record->data_centre];
    }
    topo.live_members = live.size();
    topo.fan_in = live.size();
    topo.is_combined = live.size() > max_direct_reporters;
    if (!topo.is_combined) {
        return topo;
    }
    std::size_t groups = 0;
    for (const auto& [name, count] : per_data_centre) {
        groups += count_groups(count);
    }
    topo.fan_in = std::max(group_size, groups);
    const data_centre_id data_centre(members.self.data_centre);
    topo.group =
        group_name(data_centre, node_id(members.self.node), per_data_centre[data_centre.value]);
    const auto combiners = membership::duty_holders(
        members, "move-evidence/" + key.service.value + "/" + topo.group, 1, data_centre);
    if (!combiners.empty()) {
        topo.combiner = combiners.front();
    }
    return topo;
}

std::string group_name(const data_centre_id& data_centre, const node_id& reporter,
                       std::size_t members_in_data_centre) {
    const std::size_t groups = count_groups(std::max<std::size_t>(members_in_data_centre, 1));
    return data_centre.value + "/" +
           std::to_string(membership::stable_hash(reporter.value) % groups) + "/" +
           std::to_string(groups);
}

bool is_controller(const topology& self, const node_id& node, std::size_t ranks) {
    const std::size_t count = std::min(ranks, self.controllers.size());
    const auto end = self.controllers.begin() + static_cast<std::ptrdiff_t>(count);
    return std::find(self.controllers.begin(), end, node) != end;
}

bool is_single_veto_enough(const topology& self) {
    return self.live_members < min_members_for_second;
}

findings check_endpoints(const ready_slots& ready, const move& planned) {
    findings problems;
    if (ready.on_new == 0) {
        problems.push_back({.path = "to",
                            .problem = "no ready endpoint announces " + planned.new_version.value,
                            .remedy = "start its endpoints; the move waits for them"});
    }
    if (ready.on_old == 0) {
        problems.push_back({.path = "from",
                            .problem = "no ready endpoint announces " + planned.old_version.value +
                                       ": a take-back leaves nothing to serve the calls",
                            .remedy = "keep its endpoints until the move has ended"});
    }
    return problems;
}

milliseconds report_interval(const topology& self, std::uint32_t shortest_ms) {
    const std::size_t factor =
        std::max<std::size_t>((self.fan_in + relaxed_fan_in - 1) / relaxed_fan_in, 1);
    return milliseconds(static_cast<std::int64_t>(shortest_ms) * static_cast<std::int64_t>(factor));
}

} // namespace cyclamenhatch::moves
