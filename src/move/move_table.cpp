#include "move/move_table.h"

#include "move/node_share.h"
#include "move/plan.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

std::string phase_of(const attempt_record& known, const closing_state& closing) {
    if (find_veto(known) != nullptr || closing.succeeded) {
        return "closing";
    }
    if (!known.granted) {
        return "waiting";
    }
    return known.granted->permille >= full_share_permille ? "baking" : "ramping";
}

move_status status_of(const state& self, const attempt_key& key, const open_move& open) {
    const attempt_record& known = find_record(self, key);
    move_status made{.key = key,
                     .from = open.planned.from,
                     .to = open.planned.to,
                     .deadline = open.planned.deadline,
                     .phase = phase_of(known, open.closing),
                     .stage = known.granted ? known.granted->stage : 0,
                     .permille = open.permille,
                     .is_controller = is_controller(open.around, self.self, 1),
                     .begun = open.evidence.begun};
    if (const veto* why = find_veto(known)) {
        made.veto_reason = std::string(reason_text(why->reason)) + ": " + why->detail;
    }
    if (made.is_controller) {
        for (const auto& [route, totals] : sum_totals(open.control.collected)) {
            made.calls_on_new += totals.new_calls;
            made.errors_on_new += totals.new_errors;
        }
        made.waiting_for = open.control.waiting_for;
        return made;
    }
    for (const auto& [route, counts] : open.evidence.routes) {
        made.calls_on_new += counts.on_new.calls;
        made.errors_on_new += counts.on_new.errors;
    }
    return made;
}

move_status status_of(const move& ended) {
    const bool is_done = ended.ending->outcome == move_outcome::done;
    return {.key = {.service = ended.service, .name = ended.name, .attempt = ended.attempt},
            .from = ended.from,
            .to = ended.to,
            .deadline = ended.deadline,
            .phase = is_done ? "done" : "taken_back",
            .permille = is_done ? full_share_permille : 0,
            .calls_on_new = ended.ending->calls_on_new,
            .errors_on_new = ended.ending->errors_on_new,
            .ending = ended.ending};
}

} // namespace

state make_state(const msg::move_settings_msg& settings, instant /*now*/) {
    state made;
    made.settings = settings;
    return made;
}

void record(state& self, const std::vector<call::call_sample>& samples, instant now) {
    if (self.by_service.empty()) {
        return;
    }
    for (const auto& sample : samples) {
        const auto key = self.by_service.find(sample.service);
        if (key == self.by_service.end()) {
            continue;
        }
        open_move& open = self.open.at(key->second);
        const bool is_new = sample.version == open.planned.to;
        if (is_new || open.planned.from.empty() || sample.version == open.planned.from) {
            add_sample(open.evidence, sample, is_new, now);
        }
    }
}

std::map<service_id, call::version_share> shares(const state& self, instant /*now*/) {
    std::map<service_id, call::version_share> all;
    for (const auto& [key, open] : self.open) {
        all.emplace(key.service, call::version_share{.from = open.planned.from,
                                                     .to = open.planned.to,
                                                     .permille = open.permille,
                                                     .move = key.name,
                                                     .attempt = key.attempt});
    }
    return all;
}

std::vector<move_status> list_status(const state& self, instant /*now*/) {
    std::vector<move_status> all;
    for (const auto& [key, open] : self.open) {
        all.push_back(status_of(self, key, open));
    }
    for (const auto& each : self.ended) {
        all.push_back(status_of(each.planned));
    }
    return all;
}

void adopt_record(state& self, const attempt_key& key, const recorded_move& record, instant now,
                  actions& wanted) {
    self.recorded[key] = record;
    apply_record(self, key, now, wanted);
}

void apply_record(state& self, const attempt_key& key, instant now, actions& wanted) {
    const auto found = self.recorded.find(key);
    const auto open = self.open.find(key);
    if (found == self.recorded.end() || open == self.open.end()) {
        return;
    }
    const auto& record = found->second;
    if (record.outcome == move_outcome::taken_back) {
        raise_veto(self, key,
                   {.reason = msg::veto_reason::recorded,
                    .raised_by = self.self,
                    .at = from_unix_ms(to_unix_ms(now)),
                    .is_confirmed = true},
                   wanted);
    } else if (record.outcome == move_outcome::done) {
        attempt_record& known = self.records[key];
        if (merge(known, permit{.stage = recorded_stage,
                                .permille = full_share_permille,
                                .at = from_unix_ms(to_unix_ms(now))})) {
            known.times_sent = 0;
        }
    }
    auto& planned = open->second.planned;
    if (planned.duration.count() > 0 && record.begun) {
        planned.deadline = std::min(planned.deadline, *record.begun + planned.duration);
    }
    refresh_share(self, key, open->second, now);
}

} // namespace cyclamenhatch::moves
