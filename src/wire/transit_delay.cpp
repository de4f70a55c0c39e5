#include "wire/transit_delay.h"

#include <algorithm>

namespace cyclamenhatch::wire {
namespace {

constexpr microseconds window{10'000'000};

} // namespace

microseconds note_arrival(transit_delay& transit, microseconds sent, microseconds received) {
    if (sent.count() <= 0) {
        return microseconds{0};
    }
    const auto difference = received - sent;
    if (!transit.least || received - transit.window_started >= window) {
        transit.previous_least = transit.least;
        transit.least = difference;
        transit.window_started = received;
    }
    transit.least = std::min(*transit.least, difference);
    return difference - std::min(*transit.least, transit.previous_least.value_or(difference));
}

} // namespace cyclamenhatch::wire
