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
    int last_call;
    int last_ping;
    int unanswered;
    link_step expected;
};

class link_health : public testing::TestWithParam<health_row> {};

TEST_P(link_health, decides) {
    const auto now = from_unix_ms(1'000'000'000);
    const auto ms_ago = [now](int ms) { return ms == never ? instant{} : now - milliseconds{ms}; };
    const auto& row = GetParam();
    const link_times times{.opened = ms_ago(row.opened),
                           .last_received = ms_ago(row.received),
                           .last_used = ms_ago(row.used),
                           .last_call = ms_ago(row.last_call),
                           .last_sent = ms_ago(row.sent),
                           .last_ping = ms_ago(row.last_ping),
                           .unanswered_since = ms_ago(row.unanswered),
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

TEST(link_health_of_a_slow_peer, does_not_close_the_link_for_silence_alone) {
    const auto now = from_unix_ms(1'000'000'000);
    const msg::link_settings_msg settings;
    const milliseconds silence{settings.silence_timeout_ms + 500};
    const link_times times{.opened = now - seconds{20},
                           .last_received = now - silence,
                           .last_used = now - silence,
                           .last_call = now - silence,
                           .last_sent = now - silence,
                           .last_ping = now - milliseconds{100},
                           .unanswered_since =
                               now - silence + milliseconds{settings.ping_interval_ms},
                           .is_established = true};
    EXPECT_NE(next_step(times, settings, now), link_step::close_silent);
}

TEST(link_health_of_a_dead_peer, closes_the_link_after_the_configured_dead_timeout) {
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

TEST(link_health_of_a_full_link, counts_write_progress_as_a_sign_of_life) {
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

TEST(proof_of_silence, requires_neither_received_bytes_nor_write_progress_since_the_dial) {
    const auto dialled = from_unix_ms(1'000'000'000);
    const link_times spare{.opened = dialled};
    const auto before = dialled - milliseconds{1};
    EXPECT_TRUE(is_proof_of_silence(spare, {.last_received = before, .last_progress = before}));
    EXPECT_FALSE(is_proof_of_silence(spare, {.last_received = dialled, .last_progress = before}));
    EXPECT_FALSE(is_proof_of_silence(spare, {.last_received = before, .last_progress = dialled}));
}

TEST(reconnect_backoff, doubles_with_jitter_up_to_its_limit) {
    const msg::link_settings_msg settings;
    random_source random{1};
    reconnect_backoff backoff;
    const auto now = from_unix_ms(0);
    for (int failures = 1; failures <= 12; ++failures) {
        on_dial_failed(backoff, settings, now, random);
        const auto full = std::min<std::int64_t>(100LL << std::min(failures - 1, 10),
                                                 settings.max_reconnect_delay_ms);
        EXPECT_FALSE(may_dial(backoff, now + milliseconds{full / 2} - milliseconds{1}));
        EXPECT_TRUE(may_dial(backoff, now + milliseconds{full}));
    }
    on_dial_succeeded(backoff);
    EXPECT_TRUE(may_dial(backoff, now));
}

} // namespace
} // namespace cyclamenhatch::wire
