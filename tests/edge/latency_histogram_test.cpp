#include "edge/latency_histogram.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::edge::testing {
namespace {

/// Guards against a quantile that is converted from infinity, whose value depends on the machine.
TEST(latency_histograms, state_their_bound_for_a_latency_beyond_it) {
    latency_histograms histograms;
    histograms.record(segment::whole, seconds{1000});
    EXPECT_EQ(histograms.quantile(segment::whole, 0.5), seconds{100});
    histograms.record(segment::entry, microseconds{0});
    EXPECT_EQ(histograms.quantile(segment::entry, 0.5), microseconds{10});
}

} // namespace
} // namespace cyclamenhatch::edge::testing
