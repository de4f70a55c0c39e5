#include "edge/gate_config.h"

#include "call/owner_shares.h"
#include "edge/gate_warm_up.h"

#include <iterator>
#include <utility>

namespace cyclamenhatch::edge {

call::gate_actions apply_config(gate_side& side, const snapshot_ptr& config, instant now) {
    if (!config || config == side.applied_config) {
        return {};
    }
    side.applied_config = config;
    call::on_reservations(side.gate, call::collect_reservations(*config), now);
    auto actions = apply_warm_up_terms(side, now);
    const bool is_evacuated_now = is_evacuated(*config, side.data_centre);
    if (side.gate.is_evacuated && !is_evacuated_now) {
        note_withdrawn_evacuation(side, now);
    }
    auto closed = call::on_evacuation(side.gate, is_evacuated_now, now);
    std::move(closed.begin(), closed.end(), std::back_inserter(actions));
    return actions;
}

} // namespace cyclamenhatch::edge
