#include "control/control.h"
#include "control/steps.h"

#include <utility>

namespace cyclamenhatch::control {
namespace {

void apply(actions& out, quarantine::actions&& produced) {
    append(out.sends, std::move(produced.sends));
    append(out.logs, std::move(produced.logs));
}

} // namespace

void tick_quarantine(state& self, instant now, actions& out) {
    quarantine::actions produced;
    quarantine::on_tick(self.quarantine, self.members, now, self.quarantine_random, produced);
    apply(out, std::move(produced));
}

void pass_to_quarantine(state& self, const incoming& received, instant now, actions& out) {
    quarantine::actions produced;
    quarantine::on_message(self.quarantine, self.members, received, now, self.quarantine_random,
                           produced);
    apply(out, std::move(produced));
}

void record_crash(state& self, const call::upstream_crash& crash, instant now, actions& out) {
    quarantine::actions produced;
    quarantine::record_crash(self.quarantine, self.members, crash, now, self.quarantine_random,
                             produced);
    apply(out, std::move(produced));
}

void record_good_run(state& self, const request_digest& digest, instant now, actions& out) {
    quarantine::actions produced;
    quarantine::record_good_run(self.quarantine, self.members, digest, now, self.quarantine_random,
                                produced);
    apply(out, std::move(produced));
}

bool lift_hold(state& self, const request_digest& digest, instant now, actions& out) {
    quarantine::actions produced;
    const bool was_suspected = quarantine::lift(self.quarantine, self.members, digest, now,
                                                self.quarantine_random, produced);
    apply(out, std::move(produced));
    return was_suspected;
}

} // namespace cyclamenhatch::control
