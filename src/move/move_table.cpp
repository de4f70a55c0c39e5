#include "move/move_table.h"

#include "move/node_share.h"
#include "move/plan.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

std::string current_phase(const attempt_record& record, const closing_state& closing) {
    if (find_veto(record) != nullptr || closing.succeeded) {
        return "closing";
    }
    if (!record.granted) {
        return "waiting";
    }
    return record.granted->permille >= full_share_permille ? "baking" : "ramping";
}

move_status make_status(const state& self, const attempt_key& key, const open_move& open) {
    const attempt_record& record = find_record(self, key);
    move_status status{.key = key,
                       .old_version = open.planned.old_version,
                       .new_version = open.planned.new_version,
                       .deadline = open.planned.deadline,
                       .phase = current_phase(record, open.closing),
                       .stage = record.granted ? record.granted->stage : 0,
                       .permille = open.permille,
                       .is_controller = is_controller(open.current_topology, self.self, 1),
                       .begun = open.evidence.begun};
    if (const veto* veto_held = find_veto(record)) {
        status.veto_reason = std::string(reason_text(veto_held->reason)) + ": " + veto_held->detail;
    }
    if (status.is_controller) {
        for (const auto& [route, totals] : sum_totals(open.control.collected)) {
            status.calls_on_new += totals.new_calls;
            status.errors_on_new += totals.new_errors;
        }
        status.waiting_for = open.control.waiting_for;
        return status;
    }
    for (const auto& [route, counts] : open.evidence.routes) {
        status.calls_on_new += counts.on_new.calls;
        status.errors_on_new += counts.on_new.errors;
    }
    return status;
}

move_status make_status(const move& ended) {
    const bool is_done = ended.ending->outcome == move_outcome::done;
    return {.key = {.service = ended.service, .name = ended.name, .attempt = ended.attempt},
            .old_version = ended.old_version,
            .new_version = ended.new_version,
            .deadline = ended.deadline,
            .phase = is_done ? "done" : "taken_back",
            .permille = is_done ? full_share_permille : 0,
            .calls_on_new = ended.ending->calls_on_new,
            .errors_on_new = ended.ending->errors_on_new,
            .ending = ended.ending};
}

} // namespace

state make_state(const msg::move_settings_msg& settings, instant /*now*/) {
    state initial;
    initial.settings = settings;
    return initial;
}

void add_samples(state& self, const std::vector<call::call_sample>& samples, instant now) {
    if (self.by_service.empty()) {
        return;
    }
    for (const auto& sample : samples) {
        const auto key = self.by_service.find(sample.service);
        if (key == self.by_service.end()) {
            continue;
        }
        open_move& open = self.open.at(key->second);
        const bool is_new = sample.version == open.planned.new_version;
        if (is_new || open.planned.old_version.empty() ||
            sample.version == open.planned.old_version) {
            add_sample(open.evidence, sample, is_new, now);
        }
    }
}

std::map<service_id, call::version_share> version_shares(const state& self, instant /*now*/) {
    std::map<service_id, call::version_share> all;
    for (const auto& [key, open] : self.open) {
        all.emplace(key.service, call::version_share{.old_version = open.planned.old_version,
                                                     .new_version = open.planned.new_version,
                                                     .permille = open.permille,
                                                     .move = key.name,
                                                     .attempt = key.attempt});
    }
    return all;
}

std::vector<move_status> list_status(const state& self, instant /*now*/) {
    std::vector<move_status> all;
    for (const auto& [key, open] : self.open) {
        all.push_back(make_status(self, key, open));
    }
    for (const auto& ended : self.ended) {
        all.push_back(make_status(ended.planned));
    }
    return all;
}

std::uint64_t count_cut_routes(const open_move& open) {
    std::uint64_t cut = count_cut(open.control.collected);
    for (const auto& [name, group] : open.groups) {
        cut += count_cut(group.collected);
    }
    return cut;
}

std::uint64_t count_cut_routes(const state& self) {
    std::uint64_t cut = 0;
    for (const auto& [key, open] : self.open) {
        cut += count_cut_routes(open);
    }
    return cut;
}

bool awaits_records(const state& self) {
    return std::any_of(self.open.begin(), self.open.end(), [](const auto& entry) {
        return entry.second.is_resumed && !entry.second.has_read_record;
    });
}

void note_records_read(state& self) {
    for (auto& [key, open] : self.open) {
        open.has_read_record = true;
    }
}

void adopt_record(state& self, const attempt_key& key, const recorded_move& record, instant now,
                  actions& out) {
    self.recorded[key] = record;
    apply_record(self, key, now, out);
}

void apply_record(state& self, const attempt_key& key, instant now, actions& out) {
    const auto it = self.recorded.find(key);
    const auto open = self.open.find(key);
    if (it == self.recorded.end() || open == self.open.end()) {
        return;
    }
    const auto& recorded = it->second;
    if (recorded.outcome == move_outcome::taken_back) {
        raise_veto(self, key,
                   {.reason = msg::veto_reason::recorded,
                    .raised_by = self.self,
                    .at = from_unix_ms(to_unix_ms(now)),
                    .is_confirmed = true},
                   out);
    } else if (recorded.outcome == move_outcome::done) {
        attempt_record& record = self.records[key];
        if (merge(record, permit{.stage = recorded_stage,
                                 .permille = full_share_permille,
                                 .at = from_unix_ms(to_unix_ms(now))})) {
            record.times_sent = 0;
        }
    }
    if (recorded.begun) {
        // Written by another host, whose clock may be ahead.
        set_begin(self, key, std::min(*recorded.begun, now));
    }
    refresh_share(self, key, open->second, now);
}

} // namespace cyclamenhatch::moves
