#include "move/brief.h"

#include "move/plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cyclamenhatch::moves {

namespace {

/// A stage of a brief move and the part of the move's time after which it may begin.
struct brief_stage {
    std::uint32_t permille;
    double begins;
};

/// A fault may show only under the full load, and for the time until it is seen the new version
/// then has all calls. With a bound of a tenth of all calls the stages before may use about half of
/// it, so there are few of them: a small share for most of the time, for faults that show late, and
/// a short step at a third of the load.
constexpr std::array<brief_stage, 3> brief_stages{{{40, 0.0}, {300, 0.62}, {1000, 0.67}}};
/// Part of the time after which a move at its full share has succeeded.
constexpr double finish_part = 0.80;
/// Part of the time after which a move whose new version has no endpoint is taken back.
constexpr double give_up_part = 0.93;
/// Shortest time in one stage: what its calls show has to reach the controller.
constexpr milliseconds least_stage_time{700};
/// Counts are compared over all of the move, and over its last moments, for a fault that begins
/// late.
constexpr milliseconds recent_time{2500};
constexpr milliseconds past_step{500};
/// Time from a fault's first call to the end of the traffic on the new version.
constexpr double reaction_s = 0.8;
/// Part of the bound on exposure that the plan uses.
constexpr double exposure_use = 0.9;

/// Standard errors that chance is given in the comparison of two rates. Many comparisons are made.
constexpr double certainty = 3.6;
/// Least difference between the rates that counts as a fault.
constexpr double least_error_effect = 0.04;
constexpr double least_slow_effect = 0.15;
constexpr std::uint64_t least_calls = 8;
constexpr std::uint64_t least_hits = 3;
/// Latency buckets above the old version's median at which a call counts as slow: four times the
/// median, while new endpoints that are still cold take twice as long.
constexpr std::size_t slow_buckets = 4;
/// Calls of the old version that set what counts as slow.
constexpr std::uint64_t calibration_calls = 20;

struct rate_bounds {
    double lower = 0;
    double upper = 1;
};

/// Wilson's interval for the rate behind so many hits of so many calls.
rate_bounds bounds_of(std::uint64_t hits, std::uint64_t calls) {
    if (calls == 0) {
        return {};
    }
    const auto n = static_cast<double>(calls);
    const double p = static_cast<double>(hits) / n;
    const double z2 = certainty * certainty;
    const double centre = p + z2 / (2 * n);
    const double spread = certainty * std::sqrt(p * (1 - p) / n + z2 / (4 * n * n));
    const double scale = 1 + z2 / n;
    return {.lower = (centre - spread) / scale, .upper = (centre + spread) / scale};
}

bool is_worse(const brief_finding& found, double least_effect) {
    if (found.new_calls < least_calls || found.new_hits < least_hits || found.old_calls == 0) {
        return false;
    }
    const auto on_new = bounds_of(found.new_hits, found.new_calls);
    const double old_rate =
        static_cast<double>(found.old_hits) / static_cast<double>(found.old_calls);
    const auto on_old = bounds_of(found.old_hits, found.old_calls);
    // The old version has many calls: its own uncertainty is halved, lest a bad version be spared.
    return on_new.lower > old_rate + (on_old.upper - old_rate) / 2 + least_effect;
}

std::uint64_t count_from(const latency_counts& counts, std::size_t bucket) {
    return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(bucket), counts.end(),
                           std::uint64_t{0});
}

/// The bucket of the median, or nothing when there are too few calls.
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

std::optional<brief_finding> find_fault_of(const route_id& route, const route_totals& totals) {
    const brief_finding errors{.route = route,
                               .what = measure::errors,
                               .new_calls = totals.new_calls,
                               .new_hits = totals.new_errors,
                               .old_calls = totals.old_calls,
                               .old_hits = totals.old_errors};
    if (is_worse(errors, least_error_effect)) {
        return errors;
    }
    const auto median = median_bucket(totals.old_latency);
    if (!median || *median + slow_buckets >= latency_buckets) {
        return std::nullopt;
    }
    const auto slow = *median + slow_buckets;
    const brief_finding slowness{.route = route,
                                 .what = measure::slow,
                                 .new_calls = count_from(totals.new_latency, 0),
                                 .new_hits = count_from(totals.new_latency, slow),
                                 .old_calls = count_from(totals.old_latency, 0),
                                 .old_hits = count_from(totals.old_latency, slow)};
    return is_worse(slowness, least_slow_effect) ? std::optional(slowness) : std::nullopt;
}

std::uint64_t less(std::uint64_t from, std::uint64_t taken) {
    return from > taken ? from - taken : 0;
}

latency_counts less(const latency_counts& from, const latency_counts& taken) {
    latency_counts left{};
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        left.at(i) = less(from.at(i), taken.at(i));
    }
    return left;
}

/// Keeps the counts of the last moments. Returns the oldest of them.
const std::map<route_id, route_totals>&
remember(control_state& self, const std::map<route_id, route_totals>& totals, instant now) {
    auto& past = self.past_totals;
    while (past.size() > 1 && past[1].at + recent_time <= now) {
        past.pop_front();
    }
    if (past.empty() || past.back().at + past_step <= now) {
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
    for (const auto& [route, each] : totals) {
        counts.on_new += static_cast<double>(each.new_calls);
        counts.all += static_cast<double>(each.new_calls + each.old_calls);
    }
    return counts;
}

double seconds_of(microseconds span) {
    return std::chrono::duration<double>(span).count();
}

/// Calls on the new version, in seconds of all traffic, if the stages from this one on follow each
/// other and a fault shows in the last one.
double ramp_seconds(const brief_stage* from) {
    double sum = 0;
    for (const auto* each = from; each != brief_stages.data() + brief_stages.size(); ++each) {
        const bool is_last = each->permille == full_share_permille;
        sum += (is_last ? reaction_s : seconds_of(least_stage_time)) * each->permille /
               full_share_permille;
    }
    return sum;
}

/// Whether a fault that shows only under the full load would still stay within the bound, if the
/// ramp began now.
bool is_within_exposure(const control_state& self, const control_facts& facts,
                        const brief_stage* next, instant now) {
    const auto& past = self.past_totals;
    if (past.empty()) {
        return true;
    }
    const auto present = count_calls(past.back().totals);
    const auto before = count_calls(past.front().totals);
    const double span = std::max(0.5, seconds_of(past.back().at - past.front().at));
    const double rate = (present.all - before.all) / span;
    const double left = std::max(0.0, seconds_of(facts.planned.deadline - now));
    const double bound =
        facts.exposure_permille / 1000.0 * (present.all + rate * left) + facts.exposure_slack;
    const double met = present.on_new + rate * ramp_seconds(next);
    return met <= exposure_use * bound;
}

std::string describe(const brief_finding& found) {
    return std::string(measure_name(found.what)) + ": new " + std::to_string(found.new_hits) +
           " of " + std::to_string(found.new_calls) + " calls, old " +
           std::to_string(found.old_hits) + " of " + std::to_string(found.old_calls);
}

veto make_veto(const control_facts& facts, msg::veto_reason reason, route_id route,
               std::string detail, instant now) {
    return {.reason = reason,
            .route = std::move(route),
            .detail = std::move(detail),
            .raised_by = facts.self,
            .at = from_unix_ms(to_unix_ms(now)),
            .is_confirmed = facts.holds_alone};
}

/// The part of the move's time that has passed.
double part_passed(const move& planned, instant now) {
    const auto begun = planned.deadline - planned.duration;
    return seconds_of(now - begun) / seconds_of(planned.duration);
}

/// The stage after the share in force.
const brief_stage* next_stage(std::uint32_t permille) {
    const auto next =
        std::find_if(brief_stages.begin(), brief_stages.end(),
                     [&](const brief_stage& each) { return each.permille > permille; });
    return next == brief_stages.end() ? nullptr : &*next;
}

decision decide_next_stage(control_state& self, const control_facts& facts, const permit& granted,
                           instant now) {
    const double passed = part_passed(facts.planned, now);
    const auto* next = next_stage(granted.permille);
    if (facts.ready.on_new == 0) {
        self.waiting_for = "ready slots of the new version";
        if (passed >= give_up_part) {
            return make_veto(facts, msg::veto_reason::no_endpoints, {},
                             "no endpoint of the new version is ready near the deadline", now);
        }
        return {};
    }
    const bool is_first = !facts.known.granted;
    if (passed < next->begins || (!is_first && now < granted.at + least_stage_time)) {
        self.waiting_for = "the schedule";
        return {};
    }
    // A ramp that has begun goes on: to wait at a larger share costs more than it saves. Near the
    // deadline the bound no longer binds: the version has shown no fault until then.
    const bool begins_ramp = granted.permille <= brief_stages.front().permille;
    if (begins_ramp && passed < finish_part && !is_within_exposure(self, facts, next, now)) {
        self.waiting_for = "calls, so that a late fault would meet few";
        return {};
    }
    self.waiting_for.clear();
    const std::uint32_t stage = facts.known.granted ? granted.stage + 1 : 1;
    return permit{.stage = stage, .permille = next->permille, .at = from_unix_ms(to_unix_ms(now))};
}

} // namespace

bool is_brief(const move& planned) {
    return planned.duration.count() > 0 && planned.duration < brief_limit;
}

std::optional<brief_finding> find_fault(const std::map<route_id, route_totals>& totals) {
    route_totals all;
    for (const auto& [route, each] : totals) {
        if (auto found = find_fault_of(route, each)) {
            return found;
        }
        add_totals(all, each);
    }
    // Routes differ in their latency, so only the errors of all of them can be added up.
    all.old_latency = {};
    return find_fault_of({}, all);
}

std::map<route_id, route_totals> subtract(const std::map<route_id, route_totals>& later,
                                          const std::map<route_id, route_totals>& earlier) {
    auto left = later;
    for (const auto& [route, each] : earlier) {
        const auto found = left.find(route);
        if (found == left.end()) {
            continue;
        }
        auto& rest = found->second;
        rest.new_calls = less(rest.new_calls, each.new_calls);
        rest.new_errors = less(rest.new_errors, each.new_errors);
        rest.old_calls = less(rest.old_calls, each.old_calls);
        rest.old_errors = less(rest.old_errors, each.old_errors);
        rest.new_latency = less(rest.new_latency, each.new_latency);
        rest.old_latency = less(rest.old_latency, each.old_latency);
    }
    return left;
}

decision decide_brief(control_state& self, const control_facts& facts, instant now) {
    const auto totals = sum_totals(self.collected);
    const auto recent = subtract(totals, remember(self, totals, now));
    auto found = find_fault(totals);
    if (!found) {
        found = find_fault(recent);
    }
    if (found) {
        const auto reason =
            found->what == measure::errors ? msg::veto_reason::errors : msg::veto_reason::latency;
        return make_veto(facts, reason, found->route, describe(*found), now);
    }
    const permit granted = facts.known.granted.value_or(permit{});
    if (granted.permille < full_share_permille) {
        return decide_next_stage(self, facts, granted, now);
    }
    const bool has_stayed = now >= granted.at + least_stage_time;
    if (has_stayed && part_passed(facts.planned, now) >= finish_part) {
        return finish{.reason = "all traffic on the new version, no fault seen",
                      .in_force_at = granted.at};
    }
    return {};
}

} // namespace cyclamenhatch::moves
