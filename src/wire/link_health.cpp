#include "wire/link_health.h"

#include <algorithm>

namespace cyclamenhatch::wire {
namespace {

constexpr milliseconds first_reconnect_delay{100};
constexpr std::uint32_t max_doublings = 10;

milliseconds dead_timeout(const msg::link_settings_msg& settings) {
    const milliseconds configured{settings.dead_timeout_ms};
    return configured > milliseconds{0} ? configured
                                        : 2 * milliseconds{settings.silence_timeout_ms};
}

} // namespace

instant last_sign_of_life(const link_times& times) {
    return std::max(times.last_received, times.last_progress);
}

bool is_proof_of_silence(const link_times& spare, const link_times& suspect) {
    return last_sign_of_life(suspect) < spare.opened;
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
    const auto last_heard = std::max(times.last_received, times.opened);
    const bool is_ping_unanswered = times.last_ping > times.last_received;
    const auto last_alive = std::max(last_sign_of_life(times), times.opened);
    // Silence counts from when the first unanswered ping became due; an unused link is silent
    // without a fault.
    const auto silent_for = is_ping_unanswered
                                ? now - std::max(last_alive, times.unanswered_since - interval)
                                : microseconds{0};
    if (silent_for > dead_timeout(settings)) {
        return link_step::close_silent;
    }
    if (now - last_heard > interval && now - times.last_ping > interval) {
        return link_step::ping;
    }
    return silent_for > milliseconds{settings.silence_timeout_ms} ? link_step::dial_spare
                                                                  : link_step::none;
}

void on_dial_failed(reconnect_backoff& backoff, const msg::link_settings_msg& settings, instant now,
                    random_source& random) {
    const auto doublings = std::min(backoff.failures, max_doublings);
    const auto limit = milliseconds{settings.max_reconnect_delay_ms};
    const auto delay = std::min(limit, first_reconnect_delay * (1U << doublings));
    // Half of the delay is random, so that nodes that lost a peer at once don't redial it at once.
    std::uniform_int_distribution<milliseconds::rep> jitter(delay.count() / 2, delay.count());
    backoff.not_before = now + milliseconds{jitter(random)};
    ++backoff.failures;
}

void on_dial_succeeded(reconnect_backoff& backoff) {
    backoff = {};
}

bool may_dial(const reconnect_backoff& backoff, instant now) {
    return now >= backoff.not_before;
}

} // namespace cyclamenhatch::wire
