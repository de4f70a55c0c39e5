#include "wire/link_health.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::wire {
namespace {

constexpr int never = -1;

/// Times are milliseconds before now; `never` leaves the time unset.
struct health_row {
    const char* name;
    bool is_established;
    int opened;
    int received;
    int used;
    int sent;
    int called;
    int pinged;
    int asked;
    link_step expected;
};

class link_health : public testing::TestWithParam<health_row> {};

TEST_P(link_health, decides) {
    const auto now = from_unix_ms(1'000'000'000);
    const auto before = [now](int ms) { return ms == never ? instant{} : now - milliseconds{ms}; };
    const auto& row = GetParam();
    const link_times times{.opened = before(row.opened),
                           .last_received = before(row.received),
                           .last_used = before(row.used),
                           .last_call = before(row.called),
                           .last_sent = before(row.sent),
                           .last_ping = before(row.pinged),
                           .unanswered_since = before(row.asked),
                           .is_established = row.is_established};
    EXPECT_EQ(next_step(times, msg::link_settings_msg{}, now), row.expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, link_health,
    testing::Values(
        health_row{"connecting", false, 500, never, 500, never, never, never, never,
                   link_step::none},
        health_row{"never_connected", false, 1500, never, 1500, never, never, never, never,
                   link_step::close_unconnected},
        health_row{"idle_costs_nothing", true, 30000, 20000, 20000, 25000, never, never, never,
                   link_step::none},
        health_row{"unused", true, 90000, 70000, 70000, 70500, never, never, never,
                   link_step::close_idle},
        health_row{"just_sent", true, 5000, 900, 100, 100, never, never, never, link_step::none},
        health_row{"unanswered", true, 5000, 1200, 1100, 1100, never, never, never,
                   link_step::ping},
        health_row{"pinged_just_now", true, 5000, 1900, 1800, 800, never, 800, 800,
                   link_step::none},
        health_row{"pinged_after_idling", true, 30000, 20000, 200, 200, never, 100, 100,
                   link_step::none},
        health_row{"silent_after_idling", true, 30000, 20000, 2200, 2200, never, 100, 2100,
                   link_step::dial_spare},
        health_row{"silent", true, 9000, 3200, 3100, 100, never, 100, 2200, link_step::dial_spare},
        health_row{"silent_and_no_spare_answered", true, 9000, 6200, 6100, 100, never, 100, 5200,
                   link_step::close_silent},
        health_row{"call_awaited_after_a_pong", true, 9000, 1200, 2000, 2000, 2000, never, never,
                   link_step::ping},
        health_row{"call_link_gone_silent", true, 9000, 3500, 9000, 500, 9000, 500, 2500,
                   link_step::dial_spare},
        health_row{"call_link_silent_for_good", true, 9000, 6100, 9000, 500, 9000, 500, 5100,
                   link_step::close_silent}),
    [](const auto& each) { return std::string(each.param.name); });

TEST(link_health_of_a_slow_peer, is_not_decided_by_the_time_of_its_silence_alone) {
    const auto now = from_unix_ms(1'000'000'000);
    const msg::link_settings_msg settings;
    const milliseconds waited{settings.silence_timeout_ms + 500};
    const link_times times{.opened = now - seconds{20},
                           .last_received = now - waited,
                           .last_used = now - waited,
                           .last_call = now - waited,
                           .last_sent = now - waited,
                           .last_ping = now - milliseconds{100},
                           .unanswered_since =
                               now - waited + milliseconds{settings.ping_interval_ms},
                           .is_established = true};
    EXPECT_NE(next_step(times, settings, now), link_step::close_silent);
}

TEST(link_health_of_a_dead_peer, is_decided_by_the_stated_time) {
    const auto now = from_unix_ms(1'000'000'000);
    msg::link_settings_msg settings;
    settings.dead_timeout_ms = 4000;
    link_times times{.opened = now - seconds{20},
                     .last_received = now - milliseconds{4000},
                     .last_used = now - seconds{4},
                     .last_call = now - seconds{4},
                     .last_sent = now - seconds{4},
                     .last_ping = now - milliseconds{100},
                     .unanswered_since = now - milliseconds{3000},
                     .is_established = true};
    EXPECT_EQ(next_step(times, settings, now), link_step::dial_spare);
    EXPECT_EQ(next_step(times, settings, now + milliseconds{1}), link_step::close_silent);
}

TEST(link_health_of_a_full_link, counts_what_the_peer_takes_as_a_sign) {
    const auto now = from_unix_ms(1'000'000'000);
    const msg::link_settings_msg settings;
    link_times times{.opened = now - seconds{20},
                     .last_received = now - seconds{10},
                     .last_used = now - seconds{10},
                     .last_call = now - seconds{10},
                     .last_sent = now - seconds{9},
                     .last_ping = now - milliseconds{100},
                     .last_progress = now - milliseconds{200},
                     .unanswered_since = now - seconds{9},
                     .is_established = true};
    EXPECT_EQ(next_step(times, settings, now), link_step::none);
    times.last_progress = now - milliseconds{settings.silence_timeout_ms + 1};
    EXPECT_EQ(next_step(times, settings, now), link_step::dial_spare);
    times.last_progress = now - milliseconds{2 * settings.silence_timeout_ms + 1};
    EXPECT_EQ(next_step(times, settings, now), link_step::close_silent);
}

TEST(proof_of_silence, takes_that_neither_bytes_came_nor_the_peer_took_any_since_the_dial) {
    const auto dialled = from_unix_ms(1'000'000'000);
    const link_times spare{.opened = dialled};
    const auto before = dialled - milliseconds{1};
    EXPECT_TRUE(is_proof_of_silence(spare, {.last_received = before, .last_progress = before}));
    EXPECT_FALSE(is_proof_of_silence(spare, {.last_received = dialled, .last_progress = before}));
    EXPECT_FALSE(is_proof_of_silence(spare, {.last_received = before, .last_progress = dialled}));
}

TEST(reconnect_pacing, doubles_with_jitter_up_to_its_limit) {
    const msg::link_settings_msg settings;
    random_source random{1};
    reconnect_pacing pacing;
    const auto now = from_unix_ms(0);
    for (int failures = 1; failures <= 12; ++failures) {
        on_dial_failed(pacing, settings, now, random);
        const auto full = std::min<std::int64_t>(100LL << std::min(failures - 1, 10),
                                                 settings.max_reconnect_delay_ms);
        EXPECT_FALSE(may_dial(pacing, now + milliseconds{full / 2} - milliseconds{1}));
        EXPECT_TRUE(may_dial(pacing, now + milliseconds{full}));
    }
    on_dial_succeeded(pacing);
    EXPECT_TRUE(may_dial(pacing, now));
}

} // namespace
} // namespace cyclamenhatch::wire
