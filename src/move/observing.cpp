#include "move/controller.h"
#include "move/controller_limits.h"
#include "move/plan.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Largest score per second over all entries, so that a short burst of errors takes no move back.
constexpr double max_total_score_per_s = 6.0;
/// Time for other sources to report before a single source may decide for lack of witnesses.
constexpr seconds witness_time{10};
/// Slow calls are ignored for this time after endpoints of the new version began to serve.
constexpr seconds cold_time{8};
/// Calls are ignored for this time after the loss of endpoints is known.
constexpr seconds endpoint_loss_time{2};
/// Gained and lost endpoints are each taken into account at most once in this time.
constexpr seconds endpoint_interval{60};
/// Largest detector value while a new controller catches up: a veto needs fresh evidence.
constexpr double max_catch_up_value = 50;
/// Largest score per step while a new controller catches up.
constexpr double max_catch_up_score = 50;
constexpr double busy_smoothing = 0.3;

double to_seconds(microseconds span) {
    return std::chrono::duration<double>(span).count();
}

double step_weight(const control_state& self, const move& planned, double step_s) {
    const double move_s = to_seconds(planned.deadline - self.collected.begun);
    return 0.5 * step_s / std::max(move_s, 60.0);
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

void note_stage(control_state& self, const attempt_record& record) {
    const std::uint32_t stage = record.granted ? record.granted->stage : 0;
    if (stage == self.stage) {
        return;
    }
    const std::uint32_t share = record.granted ? record.granted->permille : 0;
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

/// Records when endpoints of the new version begin to serve, since they are slow at first, and when
/// they disappear, since the errors of the preceding seconds came from their loss.
/// `endpoint_interval` keeps flapping endpoints from suppressing the evidence most of the time.
void note_endpoints(control_state& self, const ready_slots& ready, instant now) {
    const bool has_gained = self.ready_on_new > 0 && ready.on_new > self.ready_on_new;
    const bool has_lost = ready.on_new < self.ready_on_new;
    self.ready_on_new = ready.on_new;
    if (has_gained && now >= self.cold_since + endpoint_interval) {
        self.cold_since = now;
    }
    if (has_lost && now >= self.lost_since + endpoint_interval) {
        self.lost_since = now;
        if (!self.past.empty()) {
            self.routes = self.past.front().routes;
        }
    }
}

void record_judgements(control_state& self, instant now) {
    std::erase_if(self.past, [now](const auto& judgement) {
        return judgement.at + loss_detection_time < now;
    });
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
    note_stage(self, facts.record);
    if (now < self.last_step + control_step) {
        return;
    }
    const double step_s = std::min(to_seconds(now - self.last_step), 2 * to_seconds(control_step));
    self.last_step = now;
    observe_load(self, step_s);
    drop_silent_groups(self.collected, now);
    note_endpoints(self, facts.ready, now);
    const bool is_catching_up = now < self.collected.begun + catch_up_time;
    const auto limit =
        static_cast<float>(is_catching_up ? max_catch_up_score : max_total_score_per_s * step_s);
    const bool is_cold = now < self.cold_since + cold_time;
    const bool is_losing_endpoints = now < self.lost_since + endpoint_loss_time;
    add_steps(self.routes, take_steps(self.collected),
              {.max_errors_score = is_losing_endpoints ? 0 : limit,
               .max_slow_score = is_cold || is_losing_endpoints ? 0 : limit,
               .weight = step_weight(self, facts.planned, step_s),
               .max_value = is_catching_up ? max_catch_up_value : 0,
               .awaits_witnesses = now < self.collected.begun + witness_time});
    record_judgements(self, now);
    if (worst_concurrent(self.routes).level < early_level) {
        self.clear_at = now;
    }
}

} // namespace cyclamenhatch::moves
