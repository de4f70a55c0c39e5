#include "move/controller.h"
#include "move/controller_limits.h"
#include "move/plan.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Largest score per second over all entries, so that a short burst takes nothing back.
constexpr double max_total_score_per_s = 6.0;
/// Time that others get to report before one source's word may do for want of witnesses.
constexpr seconds witness_time{10};
/// Slow calls are no evidence for this time after endpoints of the new version began to serve.
constexpr seconds cold_time{8};
/// ... and for this time after.
constexpr seconds dying_time{2};
/// Endpoints that come or go count at most once in this time, each way.
constexpr seconds endpoint_interval{60};
/// It needs fresh evidence for a verdict.
constexpr double max_catch_up_value = 50;
/// Largest score of what a beginning controller takes over.
constexpr double max_catch_up_score = 50;
constexpr double busy_smoothing = 0.3;

double seconds_of(microseconds span) {
    return std::chrono::duration<double>(span).count();
}

double step_weight(const control_state& self, const move& planned, double step_s) {
    const double whole = seconds_of(planned.deadline - self.collected.begun);
    return 0.5 * step_s / std::max(whole, 60.0);
}

void observe_load(control_state& self, double step_s) {
    std::uint64_t busy_us = 0;
    for (const auto& [route, totals] : sum_totals(self.collected)) {
        busy_us += totals.busy_us;
    }
    if (busy_us > self.last_busy_us && step_s > 0) {
        const double slots = static_cast<double>(busy_us - self.last_busy_us) / (step_s * 1e6);
        self.busy_slots += busy_smoothing * (slots - self.busy_slots);
    }
    self.last_busy_us = busy_us;
}

void note_stage(control_state& self, const attempt_record& known) {
    const std::uint32_t stage = known.granted ? known.granted->stage : 0;
    if (stage == self.stage) {
        return;
    }
    const std::uint32_t share = known.granted ? known.granted->permille : 0;
    if (share == check_permille && self.permille >= full_share_permille) {
        ++self.checks;
        begin_check(self.routes);
    }
    self.stage = stage;
    self.permille = share;
    self.calls_before_stage = calls_on_new(self);
    forget_earlier(self.routes);
    self.past.clear();
}

/// Notes when endpoints of the new version begin to serve, which are slow at first, and when they
/// disappear: the errors of the seconds before came from their death. Endpoints that come and go
/// mute the evidence for a small part of the time only.
void note_endpoints(control_state& self, const ready_slots& ready, instant now) {
    const bool is_more = self.ready_on_new > 0 && ready.on_new > self.ready_on_new;
    const bool is_less = ready.on_new < self.ready_on_new;
    self.ready_on_new = ready.on_new;
    if (is_more && now >= self.cold_since + endpoint_interval) {
        self.cold_since = now;
    }
    if (is_less && now >= self.lost_since + endpoint_interval) {
        self.lost_since = now;
        if (!self.past.empty()) {
            self.routes = self.past.front().routes;
        }
    }
}

void remember_judgements(control_state& self, instant now) {
    std::erase_if(self.past, [now](const auto& each) { return each.at + death_time < now; });
    if (self.past.empty() || self.past.back().at + seconds(1) <= now) {
        self.past.push_back({.at = now, .routes = self.routes});
    }
}

} // namespace

std::uint64_t calls_on_new(const control_state& self) {
    std::uint64_t sum = 0;
    for (const auto& [route, totals] : sum_totals(self.collected)) {
        sum += totals.new_calls;
    }
    return sum;
}

void observe(control_state& self, const control_facts& facts, instant now) {
    note_stage(self, facts.known);
    if (now < self.last_step + control_step) {
        return;
    }
    const double step_s = std::min(seconds_of(now - self.last_step), 2 * seconds_of(control_step));
    self.last_step = now;
    observe_load(self, step_s);
    drop_silent_groups(self.collected, now);
    note_endpoints(self, facts.ready, now);
    const bool is_catching_up = now < self.collected.begun + catch_up_time;
    const auto limit =
        static_cast<float>(is_catching_up ? max_catch_up_score : max_total_score_per_s * step_s);
    const bool is_cold = now < self.cold_since + cold_time;
    const bool is_dying = now < self.lost_since + dying_time;
    add_steps(self.routes, take_steps(self.collected),
              {.max_errors_score = is_dying ? 0 : limit,
               .max_slow_score = is_cold || is_dying ? 0 : limit,
               .weight = step_weight(self, facts.planned, step_s),
               .max_value = is_catching_up ? max_catch_up_value : 0,
               .awaits_witnesses = now < self.collected.begun + witness_time});
    remember_judgements(self, now);
    if (worst_concurrent(self.routes).level < early_level) {
        self.clear_at = now;
    }
}

} // namespace cyclamenhatch::moves
