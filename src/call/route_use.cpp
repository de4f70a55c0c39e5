#include "call/route_use.h"

#include <cmath>

namespace cyclamenhatch::call {
namespace {

constexpr double run_smoothing = 0.15;
/// Time over which the calls that run at once are averaged: a few runs of common calls.
constexpr microseconds use_window{500'000};
/// A route without calls for this long is forgotten and measured anew.
constexpr microseconds idle_time{60'000'000};

double mean_running_at(const route_use& use, instant now) {
    const auto elapsed = static_cast<double>((now - use.counted_until).count());
    const double weight = std::exp(-elapsed / static_cast<double>(use_window.count()));
    return use.running + (use.mean_running - use.running) * weight;
}

void count_until(route_use& use, instant now) {
    use.mean_running = mean_running_at(use, now);
    use.counted_until = now;
}

} // namespace

void note_run(route_uses& uses, const route_id& route, microseconds duration) {
    auto& use = uses[route];
    if (use.run_time.count() == 0) {
        use.run_time = duration;
        return;
    }
    const auto change = static_cast<double>((duration - use.run_time).count());
    use.run_time += microseconds(static_cast<std::int64_t>(change * run_smoothing));
}

void note_rank(route_uses& uses, const route_id& route, int rank) {
    uses[route].rank = rank;
}

void note_start(route_uses& uses, const route_id& route, instant now) {
    auto& use = uses[route];
    count_until(use, now);
    ++use.running;
}

void note_stop(route_uses& uses, const route_id& route, instant now) {
    auto& use = uses[route];
    count_until(use, now);
    use.running -= use.running > 0 ? 1 : 0;
}

double slots_before(const route_uses& uses, int rank, instant now) {
    double slots = 0;
    for (const auto& [route, use] : uses) {
        slots += use.rank < rank ? mean_running_at(use, now) : 0;
    }
    return slots;
}

void forget_idle(route_uses& uses, instant now) {
    std::erase_if(uses, [&](const auto& entry) {
        return entry.second.running == 0 && now - entry.second.counted_until > idle_time;
    });
}

} // namespace cyclamenhatch::call
