#include "move/brief.h"
#include "move/move_table.h"
#include "move/node_share.h"
#include "move/plan.h"
#include "move/spreading.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Own evidence that makes this entry hold back at once; it may be mistaken, so it passes.
constexpr double hold_back_level = 1e4;
constexpr milliseconds hold_back_time{3000};
/// Own evidence, of several windows, that this entry vetoes on by itself.
constexpr double own_veto_level = 1e6;
/// Own evidence that makes this entry second another's veto.
constexpr double second_level = 1e5;
/// This long after the deadline the first controller's veto is seconded without evidence: the move
/// has to end.
constexpr seconds longest_dispute{5};
constexpr milliseconds exchange_interval{2000};
constexpr std::size_t newcomer_exchanges = 3;

veto make_own_veto(const state& self, const local_finding& found, instant now) {
    const bool is_errors = found.what == measure::errors;
    return {.reason = is_errors ? msg::veto_reason::errors : msg::veto_reason::latency,
            .route = found.route,
            .detail = std::string(measure_name(found.what)) + " seen by this entry",
            .raised_by = self.self,
            .at = from_unix_ms(to_unix_ms(now))};
}

/// What this entry's own evidence demands here.
void judge_locally(state& self, const attempt_key& key, open_move& open, instant now,
                   actions& wanted) {
    const attempt_record& known = find_record(self, key);
    const bool is_decided = known.vetoes.contains(self.self) || find_veto(known) != nullptr;
    // One entry alone sees too few calls of a brief move.
    if (is_decided || !known.granted || is_brief(open.planned)) {
        return;
    }
    const local_finding found = strongest_local(open.evidence);
    if (found.at_once >= hold_back_level && now >= open.held_back_until) {
        open.held_back_until = now + hold_back_time;
        wanted.logs.push_back(make_log(
            key, log_level::warning, "move_held_back_here",
            {{"route", found.route.value}, {"measure", std::string(measure_name(found.what))}}));
    }
    const bool seconds_other = !known.vetoes.empty() && found.at_once >= second_level;
    if (found.sustained >= own_veto_level || seconds_other) {
        raise_veto(self, key, make_own_veto(self, found, now), wanted);
    }
}

void send_report(const state& self, const membership::table& members, const open_move& open,
                 const report& made, const node_id& to, actions& wanted) {
    const auto* record = membership::find_record(members, to);
    if (record == nullptr || to == self.self) {
        return;
    }
    wanted.sends.push_back({.to = to,
                            .address = membership::link_address(*record),
                            .message = to_message(made, open.planned.from, open.planned.to)});
}

void report_to_controllers(state& self, const membership::table& members, open_move& open,
                           const report& made, instant now, actions& wanted) {
    const std::size_t count = std::min(report_controllers, open.around.controllers.size());
    for (std::size_t i = 0; i < count; ++i) {
        const node_id& to = open.around.controllers[i];
        if (to == self.self) {
            accept(open.control.collected, made, now);
        } else {
            send_report(self, members, open, made, to, wanted);
        }
    }
}

void report_own(state& self, const membership::table& members, const attempt_key& key,
                open_move& open, instant now, actions& wanted) {
    if (now < open.next_report) {
        return;
    }
    open.next_report = now + report_interval(open.around, self.settings.report_interval_ms);
    const report made =
        make_report(key, self.self.value, open.evidence, now, is_brief(open.planned));
    if (!open.around.is_combined) {
        report_to_controllers(self, members, open, made, now, wanted);
    } else if (open.around.combiner == self.self) {
        combined_group& group = open.groups[open.around.group];
        if (group.collected.begun == instant{}) {
            group.collected.begun = open.evidence.begun;
        }
        accept(group.collected, made, now);
    } else {
        send_report(self, members, open, made, open.around.combiner, wanted);
    }
}

void report_groups(state& self, const membership::table& members, const attempt_key& key,
                   open_move& open, instant now, actions& wanted) {
    for (auto& [name, group] : open.groups) {
        if (now < group.next_report) {
            continue;
        }
        group.next_report = now + report_interval(open.around, self.settings.report_interval_ms);
        report_to_controllers(self, members, open, combine(group, key, name, now), now, wanted);
    }
}

void apply(state& self, const attempt_key& key, open_move& open, const decision& decided,
           actions& wanted) {
    if (const auto* raised = std::get_if<veto>(&decided)) {
        raise_veto(self, key, *raised, wanted);
    } else if (const auto* granted = std::get_if<permit>(&decided)) {
        attempt_record& record = self.records[key];
        if (merge(record, *granted)) {
            record.times_sent = 0;
            wanted.logs.push_back(make_log(key, log_level::info, "move_stage",
                                           {{"stage", std::to_string(granted->stage)},
                                            {"permille", std::to_string(granted->permille)}}));
        }
    } else if (const auto* done = std::get_if<finish>(&decided); done && !open.closing.succeeded) {
        open.closing.succeeded = *done;
        wanted.logs.push_back(
            make_log(key, log_level::info, "move_succeeded", {{"reason", done->reason}}));
    }
}

control_facts make_facts(const state& self, const attempt_key& key, const open_move& open) {
    return {.planned = open.planned,
            .known = find_record(self, key),
            .ready = open.around.ready,
            .self = self.self,
            .false_alarm_ppm = self.settings.false_alarm_ppm,
            .exposure_permille = self.settings.exposure_permille,
            .exposure_slack = self.settings.exposure_slack,
            .holds_alone = is_brief(open.planned) || is_too_small_for_second(open.around)};
}

/// A controller seconds a veto that its own view of the same reports bears out; one that holds
/// already it takes over as its own, since who raised it may be gone.
void second_as_controller(state& self, const attempt_key& key, open_move& open, instant now,
                          actions& wanted) {
    const attempt_record& known = find_record(self, key);
    if (known.vetoes.empty() || known.vetoes.contains(self.self)) {
        return;
    }
    const veto* holding = find_veto(known);
    const veto& heard = holding != nullptr ? *holding : known.vetoes.begin()->second;
    const bool is_overdue = now > open.planned.deadline + longest_dispute &&
                            is_controller(open.around, heard.raised_by, 1);
    if (holding == nullptr && !is_overdue &&
        !is_borne_out(open.control, make_facts(self, key, open), heard, now)) {
        return;
    }
    veto raised = heard;
    raised.raised_by = self.self;
    raised.is_confirmed = false;
    if (holding == nullptr) {
        raised.at = from_unix_ms(to_unix_ms(now));
    }
    raise_veto(self, key, raised, wanted);
}

void control_move(state& self, const attempt_key& key, open_move& open, instant now,
                  actions& wanted) {
    if (!is_controller(open.around, self.self, report_controllers)) {
        return;
    }
    observe(open.control, make_facts(self, key, open), now);
    second_as_controller(self, key, open, now, wanted);
    if (!is_controller(open.around, self.self, 1)) {
        return;
    }
    const std::string waited_for = open.control.waiting_for;
    apply(self, key, open, decide(open.control, make_facts(self, key, open), now), wanted);
    if (open.control.waiting_for != waited_for && !open.control.waiting_for.empty()) {
        wanted.logs.push_back(
            make_log(key, log_level::info, "move_waiting", {{"for", open.control.waiting_for}}));
    }
    auto closes = propose(open.closing, key, find_record(self, key), open.control.collected, now);
    if (closes) {
        wanted.closes.push_back(std::move(*closes));
    }
}

void spread(state& self, const membership::table& members, instant now, random_source& random,
            actions& wanted) {
    send_news(self.records, members, random, wanted.sends);
    bool is_newcomer = false;
    for (auto& [key, open] : self.open) {
        is_newcomer = is_newcomer || !open.has_asked;
        open.has_asked = true;
    }
    if (!is_newcomer && now < self.next_exchange) {
        return;
    }
    self.next_exchange = now + exchange_interval;
    send_exchange(self.records, members, is_newcomer ? newcomer_exchanges : 1, random,
                  wanted.sends);
}

} // namespace

void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& wanted) {
    self.self = node_id(members.self.node);
    for (auto& [key, open] : self.open) {
        if (open.around.generation != members.generation) {
            open.around = make_topology(members, key, open.planned);
        }
        judge_locally(self, key, open, now, wanted);
        report_own(self, members, key, open, now, wanted);
        report_groups(self, members, key, open, now, wanted);
        control_move(self, key, open, now, wanted);
        refresh_share(self, key, open, now);
    }
    spread(self, members, now, random, wanted);
}

} // namespace cyclamenhatch::moves
