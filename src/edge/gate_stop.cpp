#include "edge/gate_side.h"
#include "model/handler_guard.h"

#include <algorithm>
#include <utility>

/// How the calls of a gate end when its node stops.
namespace cyclamenhatch::edge {
namespace {

using lock_type = state_lock;

} // namespace

std::size_t count_remote(const gate_side& side, const node_id& self) {
    const std::lock_guard guard(side.lock);
    const auto is_remote = [&](const auto& item) { return item.second->entry != self; };
    // An answer may be undelivered after its call was released.
    const auto under_way = std::count_if(side.flows.begin(), side.flows.end(), is_remote);
    const auto undelivered =
        std::count_if(side.undelivered.begin(), side.undelivered.end(), is_remote);
    return static_cast<std::size_t>(under_way + undelivered);
}

std::size_t cut_off(gate_side& side) {
    lock_type guard(side.lock);
    const auto flows = std::exchange(side.flows, {});
    side.undelivered.clear();
    side.held_back.clear();
    if (side.probe) {
        cancel_probe(*side.probe);
    }
    guard.unlock();
    for (const auto& [call, flow] : flows) {
        if (flow->exchange) {
            abort_exchange(flow->exchange);
        }
    }
    return flows.size();
}

} // namespace cyclamenhatch::edge
