#include "control/steps.h"

namespace cyclamenhatch::control {

void take(actions& wanted, distribution::actions&& from) {
    append(wanted.sends, std::move(from.sends));
    append(wanted.logs, std::move(from.logs));
}

void take_moves(state& self, moves::actions&& from, instant now, actions& wanted) {
    append(wanted.sends, std::move(from.sends));
    append(wanted.logs, std::move(from.logs));
    for (const auto& close : from.closes) {
        submit_close(self, close, now, wanted);
    }
}

void tell_of_config(state& self, instant now, actions& wanted) {
    if (self.told == self.spread.held || !self.spread.held) {
        return;
    }
    self.told = self.spread.held;
    store::on_newer(self.writer, self.told);
    store::on_held(self.reader, self.told);
    moves::actions from_moves;
    moves::on_config(self.moves, self.members, self.told, now, from_moves);
    take_moves(self, std::move(from_moves), now, wanted);
}

void offer_config(state& self, const snapshot_ptr& found, instant now, actions& wanted) {
    if (!found) {
        return;
    }
    distribution::actions from_spread;
    distribution::offer_config(self.spread, self.members, found, now, self.random, from_spread);
    take(wanted, std::move(from_spread));
    tell_of_config(self, now, wanted);
}

void reject_config(state& self, config_version version, const findings& found, instant now,
                   actions& wanted) {
    distribution::actions from_spread;
    distribution::report_rejected_config(self.spread, self.members, version, found, now,
                                         from_spread);
    take(wanted, std::move(from_spread));
}

} // namespace cyclamenhatch::control
