#include "wire/traffic_rate.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::wire {
namespace {

constexpr instant start{microseconds(1'000'000'000)};

/// Advances by 100 ms at a time and returns how often `kind` was reported.
std::size_t count_reports(traffic_watch& watch, sent_bytes& sent, traffic_kind kind,
                          std::uint64_t bytes_per_s, instant& now, seconds duration) {
    std::size_t reports = 0;
    for (const auto end = now + duration; now < end; now += milliseconds{100}) {
        sent.at(static_cast<std::size_t>(kind)) += bytes_per_s / 10;
        reports += find_high_traffic(watch, sent, now).size();
    }
    return reports;
}

/// Guards against a runaway of messages that no log line tells of.
TEST(traffic_rate, reports_a_kind_once_while_it_exceeds_the_rate) {
    traffic_watch watch;
    sent_bytes sent{};
    instant now = start;
    EXPECT_EQ(count_reports(watch, sent, traffic_kind::move, 1'000, now, seconds{20}), 0U);
    EXPECT_EQ(count_reports(watch, sent, traffic_kind::move, 90'000, now, seconds{60}), 1U);
    EXPECT_EQ(count_reports(watch, sent, traffic_kind::move, 1'000, now, seconds{20}), 0U);
    EXPECT_EQ(count_reports(watch, sent, traffic_kind::move, 90'000, now, seconds{20}), 1U);
}

TEST(traffic_rate, does_not_report_calls) {
    traffic_watch watch;
    sent_bytes sent{};
    instant now = start;
    EXPECT_EQ(count_reports(watch, sent, traffic_kind::call, 5'000'000, now, seconds{20}), 0U);
}

TEST(traffic_rate, names_the_rate) {
    traffic_watch watch;
    sent_bytes sent{};
    EXPECT_TRUE(find_high_traffic(watch, sent, start).empty());
    sent.at(static_cast<std::size_t>(traffic_kind::config)) = 500'000;
    const auto reported = find_high_traffic(watch, sent, start + seconds{10});
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported.front().kind, traffic_kind::config);
    EXPECT_EQ(reported.front().bytes_per_s, 50'000U);
}

} // namespace
} // namespace cyclamenhatch::wire
