#include "edge/gate_config.h"

#include "call/owner_shares.h"

namespace cyclamenhatch::edge {

call::gate_actions apply_config(gate_side& side, const snapshot_ptr& config, instant now) {
    if (!config || config == side.applied_config) {
        return {};
    }
    side.applied_config = config;
    call::on_reservations(side.gate, call::collect_reservations(*config), now);
    return call::on_evacuation(side.gate, is_evacuated(*config, side.data_centre), now);
}

} // namespace cyclamenhatch::edge
