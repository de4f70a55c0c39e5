#include "move/brief.h"

#include "move/incomplete.h"
#include "move/plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cyclamenhatch::moves {

namespace {

/// A stage of a brief move and the fraction of the move's duration after which it may begin.
struct brief_stage {
    std::uint32_t permille;
    double start_part;
};

/// A fault that appears only under full load affects all calls until it is detected. With exposure
/// bounded to a tenth of all calls, the earlier stages may use about half of that bound, so there
/// are few: a small share for most of the time, for faults that appear late, and a short step at a
/// third of the load.
constexpr std::array<brief_stage, 3> brief_stages{{{40, 0.0}, {300, 0.62}, {1000, 0.67}}};
/// Fraction of the duration after which a move at the full share has succeeded.
constexpr double finish_part = 0.80;
/// Fraction of the duration after which a move without endpoints of the new version is taken back.
constexpr double give_up_part = 0.93;
/// Shortest time in one stage, so that reports on its calls reach the controller.
constexpr milliseconds min_brief_stage_time{700};
/// Counts are compared over the whole move and also over this recent period, to detect a fault that
/// begins late.
constexpr milliseconds recent_time{2500};
constexpr milliseconds past_totals_interval{500};
/// Time from a fault's first call to the end of the traffic on the new version.
constexpr double reaction_s = 0.8;
/// Fraction of the exposure bound that the ramp may use.
constexpr double exposure_part = 0.9;

/// Confidence bounds in standard errors; wide, since many comparisons are made.
constexpr double standard_errors = 3.6;
/// Smallest difference between the rates that counts as a fault.
constexpr double min_error_effect = 0.04;
constexpr double min_slow_effect = 0.15;
constexpr std::uint64_t min_calls = 8;
constexpr std::uint64_t min_hits = 3;
/// Latency buckets above the old version's median at which a call counts as slow: four times the
/// median, since new endpoints that are still cold take twice as long.
constexpr std::size_t slow_buckets = 4;
/// Calls of the old version needed to set the threshold for slow calls.
constexpr std::uint64_t calibration_calls = 20;

struct rate_bounds {
    double lower = 0;
    double upper = 1;
};

/// Wilson score interval for the rate of `hits` in `calls`.
rate_bounds wilson_bounds(std::uint64_t hits, std::uint64_t calls) {
    if (calls == 0) {
        return {};
    }
    const auto n = static_cast<double>(calls);
    const double p = static_cast<double>(hits) / n;
    const double z2 = standard_errors * standard_errors;
    const double centre = p + z2 / (2 * n);
    const double spread = standard_errors * std::sqrt(p * (1 - p) / n + z2 / (4 * n * n));
    const double scale = 1 + z2 / n;
    return {.lower = (centre - spread) / scale, .upper = (centre + spread) / scale};
}

bool is_worse(const brief_finding& finding, double min_effect) {
    if (finding.new_calls < min_calls || finding.new_hits < min_hits || finding.old_calls == 0) {
        return false;
    }
    const auto on_new = wilson_bounds(finding.new_hits, finding.new_calls);
    const double old_rate =
        static_cast<double>(finding.old_hits) / static_cast<double>(finding.old_calls);
    const auto on_old = wilson_bounds(finding.old_hits, finding.old_calls);
    // The old version has many calls, so half of its uncertainty is enough; all of it would let bad
    // versions pass.
    return on_new.lower > old_rate + (on_old.upper - old_rate) / 2 + min_effect;
}

std::uint64_t count_from(const latency_counts& counts, std::size_t bucket) {
    return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(bucket), counts.end(),
                           std::uint64_t{0});
}

/// The bucket of the median; empty when there are fewer than `calibration_calls`.
std::optional<std::size_t> median_bucket(const latency_counts& counts) {
    const auto all = count_from(counts, 0);
    if (all < calibration_calls) {
        return std::nullopt;
    }
    std::uint64_t below = 0;
    std::size_t bucket = 0;
    while (below + counts.at(bucket) < (all + 1) / 2) {
        below += counts.at(bucket++);
    }
    return bucket;
}

std::optional<brief_finding> find_route_fault(const route_id& route, const route_totals& totals) {
    const brief_finding errors{.route = route,
                               .kind = measure::errors,
                               .new_calls = totals.new_calls,
                               .new_hits = totals.new_errors,
                               .old_calls = totals.old_calls,
                               .old_hits = totals.old_errors};
    if (is_worse(errors, min_error_effect)) {
        return errors;
    }
    const auto median = median_bucket(totals.old_latency);
    if (!median || *median + slow_buckets >= latency_buckets) {
        return std::nullopt;
    }
    const auto slow = *median + slow_buckets;
    const brief_finding slow_calls{.route = route,
                                   .kind = measure::slow,
                                   .new_calls = count_from(totals.new_latency, 0),
                                   .new_hits = count_from(totals.new_latency, slow),
                                   .old_calls = count_from(totals.old_latency, 0),
                                   .old_hits = count_from(totals.old_latency, slow)};
    return is_worse(slow_calls, min_slow_effect) ? std::optional(slow_calls) : std::nullopt;
}

std::uint64_t subtract_count(std::uint64_t count, std::uint64_t subtracted) {
    return count > subtracted ? count - subtracted : 0;
}

latency_counts subtract_latency(const latency_counts& counts, const latency_counts& subtracted) {
    latency_counts difference{};
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        difference.at(i) = subtract_count(counts.at(i), subtracted.at(i));
    }
    return difference;
}

/// Appends the totals to the history of the last `recent_time`. Returns the oldest entry.
const std::map<route_id, route_totals>&
record_totals(control_state& self, const std::map<route_id, route_totals>& totals, instant now) {
    auto& past = self.past_totals;
    while (past.size() > 1 && past[1].at + recent_time <= now) {
        past.pop_front();
    }
    if (past.empty() || past.back().at + past_totals_interval <= now) {
        past.push_back({.at = now, .totals = totals});
    }
    return past.front().totals;
}

struct call_counts {
    double all = 0;
    double on_new = 0;
};

call_counts count_calls(const std::map<route_id, route_totals>& totals) {
    call_counts counts;
    for (const auto& [route, route_counts] : totals) {
        counts.on_new += static_cast<double>(route_counts.new_calls);
        counts.all += static_cast<double>(route_counts.new_calls + route_counts.old_calls);
    }
    return counts;
}

double to_seconds(microseconds span) {
    return std::chrono::duration<double>(span).count();
}

/// Expected calls on the new version, in seconds of total traffic, if the stages from `first` on
/// follow directly and a fault appears in the last one.
double ramp_seconds(const brief_stage* first) {
    double sum = 0;
    for (const auto* stage = first; stage != brief_stages.data() + brief_stages.size(); ++stage) {
        const bool is_last = stage->permille == full_share_permille;
        sum += (is_last ? reaction_s : to_seconds(min_brief_stage_time)) * stage->permille /
               full_share_permille;
    }
    return sum;
}

/// Whether a fault that appears only under full load would stay within the exposure bound if the
/// ramp began now.
bool is_within_exposure(const control_state& self, const control_facts& facts,
                        const brief_stage* next, instant now) {
    const auto& past = self.past_totals;
    if (past.empty()) {
        return true;
    }
    const auto latest = count_calls(past.back().totals);
    const auto oldest = count_calls(past.front().totals);
    const double span = std::max(0.5, to_seconds(past.back().at - past.front().at));
    const double rate = (latest.all - oldest.all) / span;
    const double remaining_s = std::max(0.0, to_seconds(facts.planned.deadline - now));
    const double bound =
        facts.exposure_permille / 1000.0 * (latest.all + rate * remaining_s) + facts.exposure_slack;
    const double calls_on_bad_version = latest.on_new + rate * ramp_seconds(next);
    return calls_on_bad_version <= exposure_part * bound;
}

std::string describe(const brief_finding& finding) {
    return std::string(measure_name(finding.kind)) + ": new " + std::to_string(finding.new_hits) +
           " of " + std::to_string(finding.new_calls) + " calls, old " +
           std::to_string(finding.old_hits) + " of " + std::to_string(finding.old_calls);
}

veto make_veto(const control_facts& facts, msg::veto_reason reason, route_id route,
               std::string detail, instant now) {
    return {.reason = reason,
            .route = std::move(route),
            .detail = std::move(detail),
            .raised_by = facts.self,
            .at = from_unix_ms(to_unix_ms(now)),
            .is_confirmed = facts.single_veto_suffices};
}

/// The fraction of the move's duration that has passed.
double elapsed_part(const move& planned, instant now) {
    const auto begun = planned.deadline - planned.duration;
    return to_seconds(now - begun) / to_seconds(planned.duration);
}

/// The first stage above `permille`; null when there is none.
const brief_stage* next_stage(std::uint32_t permille) {
    const auto it =
        std::find_if(brief_stages.begin(), brief_stages.end(),
                     [&](const brief_stage& stage) { return stage.permille > permille; });
    return it == brief_stages.end() ? nullptr : &*it;
}

decision decide_next_stage(control_state& self, const control_facts& facts, const permit& granted,
                           instant now) {
    const double elapsed = elapsed_part(facts.planned, now);
    const auto* next = next_stage(granted.permille);
    if (facts.ready.on_new == 0) {
        self.waiting_for = "ready slots of the new version";
        if (elapsed >= give_up_part) {
            return make_veto(facts, msg::veto_reason::no_endpoints, {},
                             "no endpoint of the new version is ready near the deadline", now);
        }
        return {};
    }
    const bool is_first = !facts.record.granted;
    if (elapsed < next->start_part || (!is_first && now < granted.at + min_brief_stage_time)) {
        self.waiting_for = "the schedule";
        return {};
    }
    // A ramp that has begun continues, since waiting at a larger share costs more calls than it
    // saves. Near the deadline the bound is ignored: no fault has appeared until then.
    const bool begins_ramp = granted.permille <= brief_stages.front().permille;
    if (begins_ramp && elapsed < finish_part && !is_within_exposure(self, facts, next, now)) {
        self.waiting_for = "calls, so that a late fault would meet few";
        return {};
    }
    self.waiting_for.clear();
    const std::uint32_t stage = facts.record.granted ? granted.stage + 1 : 1;
    return permit{.stage = stage, .permille = next->permille, .at = from_unix_ms(to_unix_ms(now))};
}

} // namespace

bool is_brief(const move& planned) {
    return planned.duration.count() > 0 && planned.duration < brief_limit;
}

std::optional<brief_finding> find_fault(const std::map<route_id, route_totals>& totals) {
    route_totals all;
    for (const auto& [route, route_counts] : totals) {
        if (auto fault = find_route_fault(route, route_counts)) {
            return fault;
        }
        add_totals(all, route_counts);
    }
    // Latencies differ between routes, so only errors can be summed over routes.
    all.old_latency = {};
    return find_route_fault({}, all);
}

std::map<route_id, route_totals> subtract(const std::map<route_id, route_totals>& later,
                                          const std::map<route_id, route_totals>& earlier) {
    auto difference = later;
    for (const auto& [route, subtracted] : earlier) {
        const auto it = difference.find(route);
        if (it == difference.end()) {
            continue;
        }
        auto& remaining = it->second;
        remaining.new_calls = subtract_count(remaining.new_calls, subtracted.new_calls);
        remaining.new_errors = subtract_count(remaining.new_errors, subtracted.new_errors);
        remaining.old_calls = subtract_count(remaining.old_calls, subtracted.old_calls);
        remaining.old_errors = subtract_count(remaining.old_errors, subtracted.old_errors);
        remaining.new_latency = subtract_latency(remaining.new_latency, subtracted.new_latency);
        remaining.old_latency = subtract_latency(remaining.old_latency, subtracted.old_latency);
    }
    return difference;
}

decision decide_brief(control_state& self, const control_facts& facts, instant now) {
    const auto& totals = sum_totals(self.collected);
    const auto recent = subtract(totals, record_totals(self, totals, now));
    auto fault = find_fault(totals);
    if (!fault) {
        fault = find_fault(recent);
    }
    if (fault) {
        const auto reason =
            fault->kind == measure::errors ? msg::veto_reason::errors : msg::veto_reason::latency;
        return make_veto(facts, reason, fault->route, describe(*fault), now);
    }
    if (count_cut(self.collected) > 0) {
        const auto left =
            std::chrono::duration_cast<microseconds>((1 - give_up_part) * facts.planned.duration);
        return decide_incomplete(self, facts, facts.planned.deadline - left, now);
    }
    const permit granted = facts.record.granted.value_or(permit{});
    if (granted.permille < full_share_permille) {
        return decide_next_stage(self, facts, granted, now);
    }
    const bool has_full_share_time = now >= granted.at + min_brief_stage_time;
    if (has_full_share_time && elapsed_part(facts.planned, now) >= finish_part) {
        return finish{.reason = "all traffic on the new version, no fault seen",
                      .in_force_at = granted.at};
    }
    return {};
}

} // namespace cyclamenhatch::moves
