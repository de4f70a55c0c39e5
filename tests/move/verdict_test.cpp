#include "move/verdict.h"

#include "model/random.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::moves {

namespace {

/// A window in which `hits` calls are drawn at random, independent of their version.
split draw(double new_calls, double old_calls, int hits, random_source& random) {
    split window{.new_calls = new_calls, .old_calls = old_calls};
    double remaining_new = new_calls;
    double remaining = new_calls + old_calls;
    for (int i = 0; i < hits; ++i) {
        const bool is_new =
            std::uniform_real_distribution<double>(0, remaining)(random) < remaining_new;
        window.new_hits += is_new ? 1 : 0;
        window.old_hits += is_new ? 0 : 1;
        remaining_new -= is_new ? 1 : 0;
        remaining -= 1;
    }
    return window;
}

double log_choose(double total, double chosen) {
    return std::lgamma(total + 1) - std::lgamma(chosen + 1) - std::lgamma(total - chosen + 1);
}

/// Probability that `on_new` of the hits fall on the new version by chance.
double chance(const split& window, double on_new, double hits) {
    return std::exp(log_choose(window.new_calls, on_new) +
                    log_choose(window.old_calls, hits - on_new) -
                    log_choose(window.new_calls + window.old_calls, hits));
}

struct share_case {
    const char* name;
    double new_calls;
    double old_calls;
    double hits;
};

class shared_faults : public testing::TestWithParam<share_case> {};

/// The mean of the likelihood ratio is at most one, however many calls of both versions fail.
TEST_P(shared_faults, are_not_blamed_on_the_new_version) {
    const auto& row = GetParam();
    const auto odds = odds_ratios(measure::errors, 0.02);
    effect_sizes mean{};
    double total_weight = 0;
    for (double on_new = std::max(0.0, row.hits - row.old_calls);
         on_new <= std::min(row.hits, row.new_calls); on_new += 1) {
        const split window{.new_calls = row.new_calls,
                           .old_calls = row.old_calls,
                           .new_hits = on_new,
                           .old_hits = row.hits - on_new};
        const auto scores = score(window, odds);
        const double weight = chance(window, on_new, row.hits);
        total_weight += weight;
        for (std::size_t e = 0; e < effect_count; ++e) {
            mean.at(e) += weight * std::exp(scores.at(e));
        }
    }
    EXPECT_NEAR(total_weight, 1, 1e-6);
    for (const double value : mean) {
        EXPECT_LT(value, 1.0001);
    }
}

INSTANTIATE_TEST_SUITE_P(rows, shared_faults,
                         testing::Values(share_case{"first_share", 2, 98, 1},
                                         share_case{"half", 20, 20, 10},
                                         share_case{"nearly_all_fail", 20, 20, 38},
                                         share_case{"many_hits", 300, 300, 100}),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(verdict, a_good_version_stays_below_the_level) {
    random_source random(5);
    int exceeded = 0;
    constexpr int moves = 400;
    for (int i = 0; i < moves; ++i) {
        detector tested = make_detectors().at(0);
        double highest = 0;
        for (int step = 0; step < 300; ++step) {
            const int hits = static_cast<int>(random() % 4);
            const auto odds = odds_ratios(measure::errors, 0.02);
            advance(tested, score(draw(10, 40, hits, random), odds), 0.5 / 300);
            highest = std::max(highest, level(tested));
        }
        exceeded += highest >= 20 ? 1 : 0;
    }
    EXPECT_LE(exceeded, moves / 20);
}

TEST(verdict, errors_of_the_new_version_alone_add_up_fast) {
    detector tested = make_detectors().at(0);
    const auto odds = odds_ratios(measure::errors, 0.002);
    for (int i = 0; i < 5; ++i) {
        advance(tested, score({.new_calls = 1, .old_calls = 99, .new_hits = 1}, odds), 0);
    }
    EXPECT_GT(level(tested), 1e5);
}

RC_GTEST_PROP(verdict, scores_are_finite, ()) {
    const auto count = [] { return static_cast<double>(*rc::gen::inRange(0, 2000)); };
    split window{.new_calls = count(), .old_calls = count()};
    window.new_hits = std::min(window.new_calls, count());
    window.old_hits = std::min(window.old_calls, count());
    for (const double rate : {0.0, 0.5, 1.0}) {
        for (const float value : score(window, odds_ratios(measure::slow, rate))) {
            RC_ASSERT(std::isfinite(value));
        }
    }
}

} // namespace

} // namespace cyclamenhatch::moves
