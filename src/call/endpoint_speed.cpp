#include "call/endpoint_speed.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

/// Part of a new sample in the mean of a route, of an endpoint's speed and of the way there.
constexpr double route_smoothing = 0.02;
constexpr double speed_smoothing = 0.1;
constexpr double way_smoothing = 0.2;
/// One run is this many times the usual at most, so that one odd request marks no endpoint.
constexpr double most_slowness = 4;
/// Time for which a stated pace tells that the upstream states one at all.
constexpr microseconds statement_lifetime{30'000'000};

microseconds smooth(microseconds mean, microseconds sample, double part) {
    if (mean.count() == 0) {
        return sample;
    }
    const auto change = static_cast<double>((sample - mean).count()) * part;
    return mean + microseconds(static_cast<std::int64_t>(change));
}

} // namespace

void note_answer_time(route_times& times, endpoint_load& load, const route_id& route,
                      const timed_answer& answer, instant now) {
    const auto percent = pace_percent_at(load.pace, now);
    const auto usual_time = to_usual_time(answer.run_time, percent, percent);
    load.way = smooth(load.way, answer.way, way_smoothing);
    auto& mean = times[route];
    mean = smooth(mean, usual_time, route_smoothing);
    if (mean.count() == 0) {
        return;
    }
    const auto ratio = static_cast<double>(usual_time.count()) / static_cast<double>(mean.count());
    load.slowness += (std::min(ratio, most_slowness) - load.slowness) * speed_smoothing;
}

bool states_pace(const endpoint_load& load, instant now) {
    return load.uneven_at && now - *load.uneven_at < statement_lifetime;
}

microseconds expected_run(const endpoint_load& load, const route_times& times,
                          const route_id& route, instant now) {
    const auto mean = times.find(route);
    if (mean == times.end() || mean->second.count() == 0) {
        return stretch(load.pace, load.latency, now);
    }
    const auto usual_time = static_cast<double>(mean->second.count()) * load.slowness;
    return stretch(load.pace, microseconds(static_cast<std::int64_t>(usual_time)), now);
}

microseconds expected_end(const endpoint& target, const endpoint_load& load,
                          const route_times& times, const route_id& route, instant now) {
    const auto run = expected_run(load, times, route, now);
    const auto slots = usable_slots(target, load, now);
    const auto excess = std::max(0.0, estimate_in_flight(load, now) + 1 - slots);
    const auto queueing = excess / slots * static_cast<double>(run.count());
    const auto wait = std::max(estimate_wait(load, route, now),
                               microseconds(static_cast<std::int64_t>(queueing)));
    return load.way + wait + run;
}

} // namespace cyclamenhatch::call
