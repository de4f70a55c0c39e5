#include "move/brief.h"
#include "move/move_table.h"
#include "move/node_share.h"
#include "move/plan.h"
#include "move/spreading.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Own evidence at which this entry holds back calls at once; temporary, since it may be wrong.
constexpr double hold_back_level = 1e4;
constexpr milliseconds hold_back_time{3000};
/// Own evidence, of several windows, at which this entry raises a veto by itself.
constexpr double own_veto_level = 1e6;
/// Own evidence at which this entry seconds another node's veto.
constexpr double second_level = 1e5;
/// After this time past the deadline the first controller's veto is seconded without evidence, so
/// that the move ends.
constexpr seconds max_dispute_time{5};
constexpr milliseconds exchange_interval{2000};
constexpr std::size_t new_move_exchanges = 3;
/// Time for others and the store to tell when a resumed move began; after it, the move counts as
/// begun when this node opened it.
constexpr seconds learning_time{2};

veto make_own_veto(const state& self, const local_finding& finding, instant now) {
    const bool is_errors = finding.kind == measure::errors;
    return {.reason = is_errors ? msg::veto_reason::errors : msg::veto_reason::latency,
            .route = finding.route,
            .detail = std::string(measure_name(finding.kind)) + " seen by this entry",
            .raised_by = self.self,
            .at = from_unix_ms(to_unix_ms(now))};
}

/// Holds back calls or raises a veto by this entry's own evidence.
void judge_locally(state& self, const attempt_key& key, open_move& open, instant now,
                   actions& out) {
    const attempt_record& record = find_record(self, key);
    const bool is_decided = record.vetoes.contains(self.self) || find_veto(record) != nullptr;
    // One entry alone sees too few calls of a brief move.
    if (is_decided || !record.granted || is_brief(open.planned)) {
        return;
    }
    const local_finding strongest = strongest_local(open.evidence);
    if (strongest.with_open_window >= hold_back_level && now >= open.held_back_until) {
        open.held_back_until = now + hold_back_time;
        out.logs.push_back(make_log(key, log_level::warning, "move_held_back_here",
                                    {{"route", strongest.route.value},
                                     {"measure", std::string(measure_name(strongest.kind))}}));
    }
    const bool is_seconding = !record.vetoes.empty() && strongest.with_open_window >= second_level;
    if (strongest.sustained >= own_veto_level || is_seconding) {
        raise_veto(self, key, make_own_veto(self, strongest, now), out);
    }
}

void send_report(const state& self, const membership::table& members, const open_move& open,
                 const report& sent, const node_id& receiver, actions& out) {
    const auto* record = membership::find_record(members, receiver);
    if (record == nullptr || receiver == self.self) {
        return;
    }
    out.sends.push_back(
        {.to = receiver,
         .address = membership::link_address(*record),
         .message = to_message(sent, open.planned.old_version, open.planned.new_version)});
}

void report_to_controllers(state& self, const membership::table& members, open_move& open,
                           const report& sent, instant now, actions& out) {
    const std::size_t count =
        std::min(report_controllers, open.current_topology.controllers.size());
    for (std::size_t i = 0; i < count; ++i) {
        const node_id& controller = open.current_topology.controllers[i];
        if (controller == self.self) {
            accept(open.control.collected, sent, now);
        } else {
            send_report(self, members, open, sent, controller, out);
        }
    }
}

void report_own(state& self, const membership::table& members, const attempt_key& key,
                open_move& open, instant now, actions& out) {
    if (now < open.next_report) {
        return;
    }
    open.next_report =
        now + report_interval(open.current_topology, self.settings.report_interval_ms);
    const report own_report =
        make_report(key, self.self.value, open.evidence, now, is_brief(open.planned));
    if (!open.current_topology.is_combined) {
        report_to_controllers(self, members, open, own_report, now, out);
    } else if (open.current_topology.combiner == self.self) {
        combined_group& group = open.groups[open.current_topology.group];
        if (group.collected.begun == instant{}) {
            group.collected.begun = open.evidence.begun;
        }
        accept(group.collected, own_report, now);
    } else {
        send_report(self, members, open, own_report, open.current_topology.combiner, out);
    }
}

void report_groups(state& self, const membership::table& members, const attempt_key& key,
                   open_move& open, instant now, actions& out) {
    for (auto& [name, group] : open.groups) {
        if (now < group.next_report) {
            continue;
        }
        group.next_report =
            now + report_interval(open.current_topology, self.settings.report_interval_ms);
        report_to_controllers(self, members, open, combine(group, key, name, now), now, out);
    }
}

void apply(state& self, const attempt_key& key, open_move& open, const decision& decided,
           actions& out) {
    if (const auto* raised = std::get_if<veto>(&decided)) {
        raise_veto(self, key, *raised, out);
    } else if (const auto* granted = std::get_if<permit>(&decided)) {
        attempt_record& record = self.records[key];
        if (merge(record, *granted)) {
            record.times_sent = 0;
            out.logs.push_back(make_log(key, log_level::info, "move_stage",
                                        {{"stage", std::to_string(granted->stage)},
                                         {"permille", std::to_string(granted->permille)}}));
        }
    } else if (const auto* done = std::get_if<finish>(&decided); done && !open.closing.succeeded) {
        open.closing.succeeded = *done;
        out.logs.push_back(
            make_log(key, log_level::info, "move_succeeded", {{"reason", done->reason}}));
    }
}

control_facts make_facts(const state& self, const attempt_key& key, const open_move& open) {
    return {.planned = open.planned,
            .record = find_record(self, key),
            .ready = open.current_topology.ready,
            .self = self.self,
            .false_alarm_ppm = self.settings.false_alarm_ppm,
            .exposure_permille = self.settings.exposure_permille,
            .exposure_slack = self.settings.exposure_slack,
            .single_veto_suffices =
                is_brief(open.planned) || is_single_veto_enough(open.current_topology)};
}

/// Seconds a veto that this controller's own evidence supports. A veto in force is also raised in
/// this node's name, since the node that raised it may be gone.
void second_as_controller(state& self, const attempt_key& key, open_move& open, instant now,
                          actions& out) {
    const attempt_record& record = find_record(self, key);
    if (record.vetoes.empty() || record.vetoes.contains(self.self)) {
        return;
    }
    const veto* holding = find_veto(record);
    const veto& other = holding != nullptr ? *holding : record.vetoes.begin()->second;
    const bool is_overdue = now > open.planned.deadline + max_dispute_time &&
                            is_controller(open.current_topology, other.raised_by, 1);
    if (holding == nullptr && !is_overdue &&
        !supports_veto(open.control, make_facts(self, key, open), other, now)) {
        return;
    }
    veto raised = other;
    raised.raised_by = self.self;
    raised.is_confirmed = false;
    if (holding == nullptr) {
        raised.at = from_unix_ms(to_unix_ms(now));
    }
    raise_veto(self, key, raised, out);
}

void control_move(state& self, const attempt_key& key, open_move& open, instant now, actions& out) {
    if (!is_controller(open.current_topology, self.self, report_controllers)) {
        return;
    }
    observe(open.control, make_facts(self, key, open), now);
    second_as_controller(self, key, open, now, out);
    if (!is_controller(open.current_topology, self.self, 1)) {
        return;
    }
    const std::string previous_wait = open.control.waiting_for;
    apply(self, key, open, decide(open.control, make_facts(self, key, open), now), out);
    if (open.control.waiting_for != previous_wait && !open.control.waiting_for.empty()) {
        out.logs.push_back(
            make_log(key, log_level::info, "move_waiting", {{"for", open.control.waiting_for}}));
    }
    auto closes = propose(open.closing, key, find_record(self, key), open.control.collected, now);
    if (closes) {
        out.closes.push_back(std::move(*closes));
    }
}

/// Logs once a move that this node lacks evidence that was sent.
void log_cut(const attempt_key& key, open_move& open, actions& out) {
    const auto cut = count_cut_routes(open);
    if (cut == 0 || open.has_logged_cut) {
        return;
    }
    open.has_logged_cut = true;
    out.logs.push_back(make_log(key, log_level::warning, "move_evidence_cut",
                                {{"routes", std::to_string(cut)},
                                 {"limit", std::to_string(max_report_routes)},
                                 {"limit_of_all", std::to_string(max_collected_routes)}}));
}

void spread_records(state& self, const membership::table& members, instant now,
                    random_source& random, actions& out) {
    send_news(self.records, members, now, random, out.sends);
    bool has_new_move = false;
    for (auto& [key, open] : self.open) {
        has_new_move = has_new_move || !open.has_asked;
        open.has_asked = true;
    }
    if (!has_new_move && now < self.next_exchange) {
        return;
    }
    self.next_exchange = now + exchange_interval;
    send_exchange(self.records, members, has_new_move ? new_move_exchanges : 1, now, random,
                  out.sends);
}

} // namespace

void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& out) {
    self.self = node_id(members.self.node);
    for (auto& [key, open] : self.open) {
        if (open.current_topology.generation != members.generation ||
            open.current_topology.config != self.config) {
            open.current_topology = make_topology(members, self.config, key, open.planned);
        }
        if (now >= open.evidence.begun + learning_time) {
            set_begin(self, key, open.evidence.begun);
        }
        if (!has_recorded_ending(find_record(self, key))) {
            judge_locally(self, key, open, now, out);
            report_own(self, members, key, open, now, out);
            report_groups(self, members, key, open, now, out);
            log_cut(key, open, out);
            control_move(self, key, open, now, out);
        }
        refresh_share(self, key, open, now);
    }
    spread_records(self, members, now, random, out);
}

} // namespace cyclamenhatch::moves
