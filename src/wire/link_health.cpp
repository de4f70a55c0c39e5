#include "wire/link_health.h"

#include <algorithm>

namespace cyclamenhatch::wire {
namespace {

constexpr milliseconds first_reconnect_delay{100};
constexpr std::uint32_t max_doublings = 10;

milliseconds dead_timeout(const msg::link_settings_msg& settings) {
    const milliseconds stated{settings.dead_timeout_ms};
    return stated > milliseconds{0} ? stated : 2 * milliseconds{settings.silence_timeout_ms};
}

} // namespace

instant last_sign(const link_times& times) {
    return std::max(times.last_received, times.last_progress);
}

bool is_proof_of_silence(const link_times& spare, const link_times& doubted) {
    return last_sign(doubted) < spare.opened;
}

link_step next_step(const link_times& times, const msg::link_settings_msg& settings, instant now) {
    if (!times.is_established) {
        const bool is_late = now - times.opened > milliseconds{settings.connect_timeout_ms};
        return is_late ? link_step::close_unconnected : link_step::none;
    }
    if (now - times.last_used > seconds{settings.idle_timeout_s}) {
        return link_step::close_idle;
    }
    const bool carries_calls =
        times.last_call != instant{} && now - times.last_call <= seconds{settings.idle_timeout_s};
    if (!carries_calls && times.last_sent <= times.last_received) {
        return link_step::none;
    }
    const milliseconds interval{settings.ping_interval_ms};
    const auto heard = std::max(times.last_received, times.opened);
    const bool is_unanswered = times.last_ping > times.last_received;
    const auto alive = std::max(last_sign(times), times.opened);
    // The time before the first ping was due is nobody's silence: an unused link may be quiet.
    const auto silent_for =
        is_unanswered ? now - std::max(alive, times.unanswered_since - interval) : microseconds{0};
    if (silent_for > dead_timeout(settings)) {
        return link_step::close_silent;
    }
    if (now - heard > interval && now - times.last_ping > interval) {
        return link_step::ping;
    }
    return silent_for > milliseconds{settings.silence_timeout_ms} ? link_step::dial_spare
                                                                  : link_step::none;
}

void on_dial_failed(reconnect_pacing& pacing, const msg::link_settings_msg& settings, instant now,
                    random_source& random) {
    const auto doublings = std::min(pacing.failures, max_doublings);
    const auto limit = milliseconds{settings.max_reconnect_delay_ms};
    const auto delay = std::min(limit, first_reconnect_delay * (1U << doublings));
    // Half of the delay is random, so that nodes that lost a peer together do not return together.
    std::uniform_int_distribution<milliseconds::rep> jitter(delay.count() / 2, delay.count());
    pacing.not_before = now + milliseconds{jitter(random)};
    ++pacing.failures;
}

void on_dial_succeeded(reconnect_pacing& pacing) {
    pacing = {};
}

bool may_dial(const reconnect_pacing& pacing, instant now) {
    return now >= pacing.not_before;
}

} // namespace cyclamenhatch::wire
