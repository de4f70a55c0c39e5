#pragma once

#include <array>
#include <cstddef>
#include <string_view>

/// The sequential test of a new version against the old one.
///
/// Calls are divided between the versions at random, so when both are equally good each error falls
/// on the new version with the probability of its share of the calls, however often errors happen.
/// The likelihood ratio of "the new version has a higher rate of errors" against "both have the
/// same" therefore has an expectation of at most one for a good version, also under faults that
/// both versions share. Ratios of separate windows and separate entries multiply; their logarithms
/// add.
namespace cyclamenhatch::moves {

/// Kinds of hits. Slow and very slow are relative to the old version's latency.
enum class measure : std::size_t { errors, slow, very_slow };
inline constexpr std::size_t measure_count = 3;

/// Rates of hits that a bad version adds to the old version's, in the alternatives tested.
inline constexpr std::size_t effect_count = 4;
using effect_sizes = std::array<double, effect_count>;
inline constexpr std::array<effect_sizes, measure_count> added_rates{
    effect_sizes{0.01, 0.03, 0.10, 0.50},
    effect_sizes{0.05, 0.10, 0.25, 0.50},
    effect_sizes{0.01, 0.03, 0.10, 0.30},
};

/// The alternatives as odds ratios, given the old version's rate before the window.
[[nodiscard]] effect_sizes odds_ratios(measure kind, double old_rate);

/// Logarithms of likelihood ratios, one per effect.
using effect_scores = std::array<float, effect_count>;
/// One per measure.
using measure_scores = std::array<effect_scores, measure_count>;

/// What the new version is compared with.
enum class reference : std::size_t {
    /// The old version's calls in the same window; sufficient for a veto.
    concurrent,
    /// The old version's earlier calls; only a suspicion, since a fault of both versions also shows
    /// here.
    earlier,
};
inline constexpr std::size_t reference_count = 2;
using score_table = std::array<measure_scores, reference_count>;

/// Calls and hits (errors, or slow calls) of both versions in one window.
struct split {
    double new_calls = 0;
    double old_calls = 0;
    double new_hits = 0;
    double old_hits = 0;
};

/// Exact for a window that was closed without regard to its hits: its mean over a good
/// version's windows is one. Zero when either version has no calls, and when no call or each
/// call is a hit.
[[nodiscard]] effect_scores score(const split& window, const effect_sizes& odds);

/// Lowers each score to at most `limit`.
void limit_scores(effect_scores& scores, float limit);

/// Accumulates scores over time and allows for a fault that begins at any time. Its level
/// exceeds X with a probability of at most 1/X for a good version, as long as the weights given
/// to it sum up to at most one.
struct detector {
    std::array<double, effect_count> value{};
};

/// One detector per measure, with the weight of a fault that is there from the start.
[[nodiscard]] std::array<detector, measure_count> make_detectors();

/// Adds one step. `weight` is the prior probability that a fault begins in this step.
void advance(detector& self, const effect_scores& step, double weight);

/// Evidence against the new version; 1 is none.
[[nodiscard]] double level(const detector& self);

[[nodiscard]] std::string_view measure_name(measure kind);

} // namespace cyclamenhatch::moves
