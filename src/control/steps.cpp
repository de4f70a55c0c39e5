#include "control/steps.h"

namespace cyclamenhatch::control {

void apply_distribution_actions(actions& out, distribution::actions&& produced) {
    append(out.sends, std::move(produced.sends));
    append(out.logs, std::move(produced.logs));
}

void apply_move_actions(state& self, moves::actions&& produced, instant now, actions& out) {
    append(out.sends, std::move(produced.sends));
    append(out.logs, std::move(produced.logs));
    for (const auto& close : produced.closes) {
        submit_close(self, close, now, out);
    }
}

void apply_held_config(state& self, instant now, actions& out) {
    if (self.applied_config == self.distribution.config || !self.distribution.config) {
        return;
    }
    self.applied_config = self.distribution.config;
    store::update_local_snapshot(self.writer, self.applied_config);
    store::set_local_snapshot(self.reader, self.applied_config);
    moves::actions move_actions;
    moves::on_config(self.moves, self.members, self.applied_config, now, move_actions);
    apply_move_actions(self, std::move(move_actions), now, out);
}

void offer_config(state& self, const snapshot_ptr& config, instant now, actions& out) {
    if (!config) {
        return;
    }
    distribution::actions spread_actions;
    distribution::offer_config(self.distribution, self.members, config, now, self.random,
                               spread_actions);
    apply_distribution_actions(out, std::move(spread_actions));
    apply_held_config(self, now, out);
}

void reject_config(state& self, config_version version, const findings& problems, instant now,
                   actions& out) {
    distribution::actions spread_actions;
    distribution::report_rejected_config(self.distribution, self.members, version, problems, now,
                                         spread_actions);
    apply_distribution_actions(out, std::move(spread_actions));
}

} // namespace cyclamenhatch::control
