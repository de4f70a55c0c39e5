#include "metrics/registry.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

namespace cyclamenhatch::metrics {
namespace {

TEST(registry, writes_counters_and_gauges_exactly) {
    const auto all = make_registry();
    get_counter(*all, "calls_total", "Calls.", {{"route", "a\"b\\c\nd"}}).add(3);
    get_counter(*all, "calls_total", "Ignored.", {{"route", "a"}, {"outcome", "not_run"}}).add();
    get_gauge(*all, "bytes", "Held bytes.").set(0.5);
    EXPECT_EQ(write_text(*all), "# HELP bytes Held bytes.\n"
                                "# TYPE bytes gauge\n"
                                "bytes 0.5\n"
                                "# HELP calls_total Calls.\n"
                                "# TYPE calls_total counter\n"
                                "calls_total{route=\"a\",outcome=\"not_run\"} 1\n"
                                "calls_total{route=\"a\\\"b\\\\c\\nd\"} 3\n");
}

TEST(registry, writes_histograms_in_seconds_with_cumulated_buckets) {
    const auto all = make_registry();
    auto& latency = get_latency(*all, "call_seconds", "Latency.", {{"route", "a"}});
    for (const int us : {10, 49, 60, 400'000'000, -5}) {
        record(latency, microseconds{us});
    }
    const auto text = write_text(*all);
    const std::string begin = "# HELP call_seconds Latency.\n"
                              "# TYPE call_seconds histogram\n"
                              "call_seconds_bucket{route=\"a\",le=\"5e-05\"} 3\n"
                              "call_seconds_bucket{route=\"a\",le=\"1e-04\"} 4\n"
                              "call_seconds_bucket{route=\"a\",le=\"2e-04\"} 4\n";
    const std::string end = "call_seconds_bucket{route=\"a\",le=\"104.8576\"} 4\n"
                            "call_seconds_bucket{route=\"a\",le=\"+Inf\"} 5\n"
                            "call_seconds_sum{route=\"a\"} 400.000119\n"
                            "call_seconds_count{route=\"a\"} 5\n";
    EXPECT_TRUE(text.starts_with(begin)) << text;
    EXPECT_TRUE(text.ends_with(end)) << text;
}

TEST(registry, loses_no_count_between_threads) {
    constexpr int per_thread = 10'000;
    const auto all = make_registry();
    const auto work = [&] {
        for (int i = 0; i < per_thread; ++i) {
            record(get_latency(*all, "s", "S."), microseconds{i});
            get_counter(*all, "c", "C.").add();
        }
    };
    std::thread first(work);
    std::thread second(work);
    first.join();
    second.join();
    EXPECT_EQ(count(get_latency(*all, "s", "S.")), 2U * per_thread);
    EXPECT_EQ(get_counter(*all, "c", "C.").value.load(), 2U * per_thread);
}

RC_GTEST_PROP(latency_histogram, quantile_is_within_a_factor_of_two,
              (const std::vector<std::uint16_t>& durations)) {
    RC_PRE(!durations.empty());
    const auto all = make_registry();
    auto& latency = get_latency(*all, "s", "S.");
    for (const auto each : durations) {
        record(latency, microseconds{each});
    }
    const auto longest = *std::max_element(durations.begin(), durations.end());
    const auto quantile = find_quantile(latency, 1).count();
    RC_ASSERT(quantile >= longest);
    RC_ASSERT(quantile <= std::max(50, 2 * longest));
}

} // namespace
} // namespace cyclamenhatch::metrics
