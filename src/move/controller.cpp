#include "move/controller.h"

#include "move/brief.h"
#include "move/controller_limits.h"
#include "move/incomplete.h"
#include "move/plan.h"

#include <algorithm>
#include <cstdio>

namespace cyclamenhatch::moves {

namespace {

/// Evidence above which the ramp waits.
constexpr double suspicion_level = 20;
/// A due stage with evidence above `early_level` waits for this fraction (1/n) of the time left
/// until the bake.
constexpr int early_wait_part = 4;
/// Evidence that takes a move back when there is no time to wait.
constexpr double late_veto_level = 1000;
/// Fraction of a veto's evidence that suffices to second another controller's veto, since this
/// controller's reports may be older.
constexpr double seconding_part = 0.25;
constexpr milliseconds clock_tolerance{1000};
/// Like `late_veto_level`, once a check has been made.
constexpr double checked_veto_level = 100;
/// Evidence below which a check is over.
constexpr double clear_level = 5;
/// Evidence from the comparison with earlier calls that starts a check: a side by side comparison.
constexpr double check_level = 100;
/// Factor by which the suspicion that started a check lowers the level for a veto.
constexpr double check_evidence = 30;
/// Largest share while a veto waits to learn whether endpoints have died.
constexpr std::uint32_t reduced_permille = 50;
/// Like `check_level`, when the bake is over and time is left.
constexpr double last_check_level = 5;
constexpr std::uint32_t max_checks = 3;
constexpr milliseconds check_time{4000};
/// A check ends after this time when there is no evidence against the new version.
constexpr milliseconds longest_check_time{15000};
/// Calls on the new version that a check takes, in units of the move's min_calls.
constexpr std::uint64_t check_calls_factor = 4;
/// A check must be over before the deadline.
constexpr milliseconds check_margin{8000};
/// Shortest time in a stage that is entered before its latest start.
constexpr milliseconds early_stage_time{3000};
/// Fraction of the new version's ready slots that a stage may use.
constexpr double slot_use = 0.8;

double veto_level(const control_state& self, std::uint32_t false_alarm_ppm) {
    const double test_count = static_cast<double>(std::max<std::size_t>(self.routes.size(), 1)) *
                              static_cast<double>(measure_count);
    const double level_without_check = test_count * 1e6 / std::max(false_alarm_ppm, 1U);
    // The suspicion that started a check is evidence independent of the check's own.
    return self.checks > 0 ? level_without_check / check_evidence : level_without_check;
}

route_totals sum_of_routes(const std::map<route_id, route_totals>& routes) {
    route_totals sum;
    for (const auto& [route, totals] : routes) {
        sum.new_calls += totals.new_calls;
        sum.new_errors += totals.new_errors;
        sum.old_calls += totals.old_calls;
        sum.old_errors += totals.old_errors;
    }
    return sum;
}

std::string describe(const control_state& self, const worst_finding& worst) {
    const auto& sums = sum_totals(self.collected);
    const auto it = sums.find(worst.route);
    std::string text = std::string(measure_name(worst.kind));
    const route_totals totals = it == sums.end() ? sum_of_routes(sums) : it->second;
    std::array<char, 160> counts_text{};
    std::snprintf(counts_text.data(), counts_text.size(),
                  ": new %llu errors of %llu calls, old %llu of %llu, evidence 1:%.0f",
                  static_cast<unsigned long long>(totals.new_errors),
                  static_cast<unsigned long long>(totals.new_calls),
                  static_cast<unsigned long long>(totals.old_errors),
                  static_cast<unsigned long long>(totals.old_calls), worst.level);
    return text + counts_text.data();
}

/// Permits and vetoes are sent with times in milliseconds; truncated here so that copies compare
/// equal on every node.
instant truncate_to_ms(instant time) {
    return from_unix_ms(to_unix_ms(time));
}

veto make_veto(const control_facts& facts, msg::veto_reason reason, std::string detail,
               instant now) {
    return {.reason = reason,
            .detail = std::move(detail),
            .raised_by = facts.self,
            .at = truncate_to_ms(now),
            .is_confirmed = facts.single_veto_suffices};
}

veto make_evidence_veto(const control_state& self, const control_facts& facts,
                        const worst_finding& worst, const std::string& suffix, instant now) {
    const auto reason =
        worst.kind == measure::errors ? msg::veto_reason::errors : msg::veto_reason::latency;
    veto raised = make_veto(facts, reason, describe(self, worst) + suffix, now);
    raised.route = worst.route;
    return raised;
}

permit next_permit(const control_facts& facts, std::uint32_t permille, instant now) {
    const std::uint32_t stage = facts.record.granted ? facts.record.granted->stage + 1 : 1;
    return {.stage = stage, .permille = permille, .at = truncate_to_ms(now)};
}

bool has_slots_for(const control_state& self, const control_facts& facts, std::uint32_t permille) {
    if (facts.ready.on_new == 0) {
        return false;
    }
    const double needed = self.busy_slots * permille / full_share_permille;
    return needed <= slot_use * facts.ready.on_new;
}

/// Decides when the evidence suffices for a veto. While dying endpoints may be the cause, the share
/// is only lowered.
decision decide_fault(const control_state& self, const control_facts& facts,
                      const worst_finding& worst, instant now) {
    if (now >= self.clear_at + loss_detection_time || !facts.record.granted) {
        return make_evidence_veto(self, facts, worst, "", now);
    }
    if (facts.record.granted->permille > reduced_permille) {
        return next_permit(facts, reduced_permille, now);
    }
    return {};
}

double late_level(const control_state& self) {
    return self.checks > 0 ? checked_veto_level : late_veto_level;
}

/// Decides when the deadline has passed before the full share was permitted.
decision decide_overdue(const control_state& self, const control_facts& facts, instant now) {
    const std::uint32_t share = facts.record.granted ? facts.record.granted->permille : 0;
    const worst_finding worst = worst_concurrent(self.routes);
    if (worst.level >= late_level(self)) {
        return make_evidence_veto(self, facts, worst, ", at the deadline", now);
    }
    if (!has_slots_for(self, facts, full_share_permille)) {
        return make_veto(facts, msg::veto_reason::no_endpoints,
                         "deadline reached with " + std::to_string(facts.ready.on_new) +
                             " ready slots of the new version",
                         now);
    }
    if (share >= check_permille) {
        return next_permit(facts, full_share_permille, now);
    }
    return make_veto(facts, msg::veto_reason::deadline,
                     "deadline reached at a share of " + std::to_string(share) + " permille", now);
}

/// Decides when the full share is due with fewer than `min_calls` calls.
decision decide_little_traffic(const control_facts& facts, std::uint64_t calls, instant now) {
    if (facts.planned.on_little_traffic == little_traffic_policy::done) {
        return next_permit(facts, full_share_permille, now);
    }
    return make_veto(facts, msg::veto_reason::little_traffic,
                     "only " + std::to_string(calls) + " of " +
                         std::to_string(facts.planned.min_calls) +
                         " calls on the new version, and on_little_traffic is take_back",
                     now);
}

/// Whether a side by side comparison continues: until its result is clear or the deadline is near.
bool is_check_open(const control_state& self, const control_facts& facts, microseconds dwell,
                   instant now) {
    if (now + check_margin >= facts.planned.deadline) {
        return false;
    }
    const std::uint64_t calls = calls_on_new(self) - self.calls_before_stage;
    const bool has_calls = calls >= check_calls_factor * std::uint64_t{facts.planned.min_calls};
    const bool is_long = dwell >= longest_check_time || (has_calls && dwell >= check_time);
    return !is_long || worst_concurrent(self.routes).level >= clear_level;
}

/// Until when a stage due at `due` waits for clearer evidence.
instant hold_until(const move& planned, instant due, double level) {
    const instant latest = latest_bake_start(planned);
    if (level >= suspicion_level) {
        return latest;
    }
    return level >= early_level && due < latest ? due + (latest - due) / early_wait_part : due;
}

decision decide_ramp(control_state& self, const control_facts& facts, instant now) {
    const permit granted = facts.record.granted.value_or(permit{});
    const bool is_first = !facts.record.granted;
    const instant entered = is_first ? now : granted.at;
    const auto left = schedule_after(facts.planned, granted.permille, entered);
    if (left.empty()) {
        return {};
    }
    const stage& next = left.front();
    const auto dwell = now - entered;
    const worst_finding worst = worst_concurrent(self.routes);
    const bool is_check = self.checks > 0 && granted.permille == check_permille;
    const std::uint64_t calls = calls_on_new(self);
    if (is_check && is_check_open(self, facts, dwell, now)) {
        self.waiting_for = "a comparison side by side";
        return {};
    }
    if (!is_first && dwell < min_stage_time) {
        return {};
    }
    if (!has_slots_for(self, facts, next.permille)) {
        self.waiting_for = "ready slots of the new version";
        return {};
    }
    const bool is_due = now >= next.latest_start;
    const bool is_early = calls >= self.calls_before_stage + facts.planned.min_calls &&
                          dwell >= early_stage_time && worst.level < early_level;
    if (!is_due && !is_early) {
        self.waiting_for = "calls or the schedule";
        return {};
    }
    if (now < hold_until(facts.planned, next.latest_start, worst.level)) {
        self.waiting_for = "clearer evidence";
        return {};
    }
    if (worst.level >= late_level(self)) {
        return make_evidence_veto(self, facts, worst, ", no time left to gather more", now);
    }
    self.waiting_for.clear();
    if (next.permille == full_share_permille && calls < facts.planned.min_calls) {
        return decide_little_traffic(facts, calls, now);
    }
    return next_permit(facts, next.permille, now);
}

std::string describe_success(const control_state& self, const control_facts& facts, instant now) {
    const bool is_cut_short = now < facts.record.granted->at + facts.planned.bake;
    std::string text = is_cut_short
                           ? "all traffic on the new version, the deadline cut the bake short"
                           : "all traffic on the new version, bake passed";
    const std::uint64_t calls = calls_on_new(self);
    if (calls < facts.planned.min_calls) {
        text += "; little traffic: " + std::to_string(calls) + " of " +
                std::to_string(facts.planned.min_calls) + " calls, and on_little_traffic is done";
    }
    return text;
}

decision decide_bake(control_state& self, const control_facts& facts, instant now) {
    const permit& granted = *facts.record.granted;
    const worst_finding earlier = worst_earlier(self.routes);
    if (earlier.level >= check_level) {
        if (self.checks >= max_checks && earlier.level >= veto_level(self, facts.false_alarm_ppm)) {
            return make_evidence_veto(self, facts, earlier, ", at the full share only", now);
        }
        if (self.checks < max_checks && now + check_margin < facts.planned.deadline) {
            return next_permit(facts, check_permille, now);
        }
    }
    const bool is_baked = now >= granted.at + facts.planned.bake;
    const bool has_time = now + longest_check_time + check_margin < facts.planned.deadline;
    if (is_baked && has_time && earlier.level >= last_check_level && self.checks < max_checks) {
        return next_permit(facts, check_permille, now);
    }
    const worst_finding worst = worst_concurrent(self.routes);
    const bool is_overdue = now >= facts.planned.deadline;
    if (!is_overdue && (!is_baked || worst.level >= suspicion_level)) {
        return {};
    }
    if (worst.level >= late_level(self)) {
        return make_evidence_veto(self, facts, worst, ", at the deadline", now);
    }
    return finish{.reason = describe_success(self, facts, now), .in_force_at = granted.at};
}

} // namespace

bool supports_veto(const control_state& self, const control_facts& facts, const veto& raised,
                   instant now) {
    const move& planned = facts.planned;
    const std::uint32_t share = facts.record.granted ? facts.record.granted->permille : 0;
    switch (raised.reason) {
    case msg::veto_reason::errors:
    case msg::veto_reason::latency:
        return worst_concurrent(self.routes).level >=
                   seconding_part * (now >= latest_bake_start(planned)
                                         ? late_level(self)
                                         : veto_level(self, facts.false_alarm_ppm)) ||
               (share >= full_share_permille && self.checks >= max_checks &&
                worst_earlier(self.routes).level >= seconding_part * check_level);
    case msg::veto_reason::recorded:
        return true;
    case msg::veto_reason::operator_cancel:
        return planned.cancel;
    case msg::veto_reason::deadline:
    case msg::veto_reason::no_endpoints:
        return now + clock_tolerance >= planned.deadline && share < full_share_permille;
    case msg::veto_reason::little_traffic:
        return planned.on_little_traffic == little_traffic_policy::take_back &&
               now + clock_tolerance >= latest_bake_start(planned) &&
               calls_on_new(self) < planned.min_calls + planned.min_calls / 2;
    }
    return false;
}

decision decide(control_state& self, const control_facts& facts, instant now) {
    if (is_brief(facts.planned)) {
        return find_veto(facts.record) != nullptr ? decision{} : decide_brief(self, facts, now);
    }
    const bool is_catching_up = now < self.collected.begun + catch_up_time;
    if (find_veto(facts.record) != nullptr || is_catching_up) {
        return {};
    }
    const worst_finding worst = worst_concurrent(self.routes);
    if (worst.level >= veto_level(self, facts.false_alarm_ppm)) {
        return decide_fault(self, facts, worst, now);
    }
    if (count_cut(self.collected) > 0) {
        return decide_incomplete(self, facts, facts.planned.deadline, now);
    }
    if (facts.planned.start && now < *facts.planned.start) {
        self.waiting_for = "the start";
        return {};
    }
    const bool is_full =
        facts.record.granted && facts.record.granted->permille >= full_share_permille;
    if (is_full) {
        return decide_bake(self, facts, now);
    }
    if (now >= facts.planned.deadline) {
        return decide_overdue(self, facts, now);
    }
    return decide_ramp(self, facts, now);
}

} // namespace cyclamenhatch::moves
