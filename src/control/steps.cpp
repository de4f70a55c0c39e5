#include "control/steps.h"

#include <utility>

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
    note_evacuations(self, now, out);
    self.applied_config = self.distribution.config;
    store::update_local_snapshot(self.writer, self.applied_config);
    store::set_local_snapshot(self.reader, self.applied_config);
    moves::actions move_actions;
    moves::on_config(self.moves, self.members, self.applied_config, now, move_actions);
    apply_move_actions(self, std::move(move_actions), now, out);
    if (self.operator_reader) {
        feed::note_held(*self.operator_reader, self.applied_config, now);
        // Most nodes do not read the store; they learn of a new era with the configuration.
        note_store_era(self, feed::raise_era(self.store_era, self.applied_config->version), now,
                       out);
    }
}

void note_store_era(state& self, std::uint64_t era, instant now, actions& out) {
    if (era <= self.store_era) {
        return;
    }
    const auto previous = std::exchange(self.store_era, era);
    if (self.operator_reader) {
        feed::reader_actions reader_output;
        feed::on_new_era(*self.operator_reader, era, self.distribution.config, now, reader_output);
        append(out.requests, std::move(reader_output.requests));
    }
    if (previous == 0) {
        return;
    }
    if (self.record_keeper) {
        feed::on_new_era(*self.record_keeper, now, self.random);
    }
    store::on_new_era(self.contacts, now, self.random);
    store::on_new_era(self.leaves);
    out.logs.push_back({log_level::warning,
                        "store_era_changed",
                        {{"era", std::to_string(era)}, {"previous", std::to_string(previous)}}});
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
