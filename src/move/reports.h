#pragma once

#include "messages/peer_message.h"
#include "model/ids.h"
#include "model/time.h"
#include "move/attempt_key.h"
#include "move/evidence.h"
#include "move/verdict.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

/// Reports of evidence from entries to the controller. Reports are cumulative and numbered, so that
/// loss, repetition and reordering only cause delay; a sum over sources is again a report.
namespace cyclamenhatch::moves {

/// Calls by latency bucket.
using latency_counts = std::array<std::uint64_t, latency_buckets>;

/// Totals of one route since a source began to count.
struct route_totals {
    std::uint64_t new_calls = 0;
    std::uint64_t new_errors = 0;
    std::uint64_t new_refusals = 0;
    std::uint64_t old_calls = 0;
    std::uint64_t old_errors = 0;
    std::uint64_t busy_us = 0;
    /// Successful calls by the time taken at the upstream. Only set for brief moves.
    latency_counts new_latency{};
    latency_counts old_latency{};
    score_table scores{};
};

/// Adds counts; scores are left unchanged.
void add_totals(route_totals& sum, const route_totals& added);

/// One report of a source.
struct report {
    attempt_key key;
    std::string source;
    std::uint64_t sequence = 0;
    /// Number of entries whose evidence the report includes.
    std::uint32_t sources = 1;
    instant begun;
    /// Includes the sum of the routes that are not listed, under rest_of_routes().
    std::map<route_id, route_totals> routes;
    /// Routes with calls on the new version that are counted in that sum only.
    std::uint32_t cut_routes = 0;
};

/// The name of the sum of the routes that a report does not list. It has calls and errors, but no
/// latencies and scores, which differ between routes.
[[nodiscard]] const route_id& rest_of_routes();

/// Keeps at most `most` routes by name, those with the most calls on the new version first, so that
/// the choice does not depend on errors, and adds the others to the rest. Returns how many of these
/// have calls on the new version.
[[nodiscard]] std::uint32_t fold_routes(std::map<route_id, route_totals>& routes, std::size_t most);

[[nodiscard]] report make_report(const attempt_key& key, const std::string& source,
                                 const entry_evidence& evidence, instant now,
                                 bool has_latencies = false);

/// Folds the routes beyond `max_report_routes`.
[[nodiscard]] msg::move_evidence_msg to_message(const report& sent, const version_id& from_version,
                                                const version_id& to_version);

/// Folds the routes beyond `max_report_routes`.
[[nodiscard]] report from_message(const msg::move_evidence_msg& message,
                                  const version_id& to_version);
/// Bounds a message to about 0.6 MB, below the largest frame of a link.
inline constexpr std::size_t max_report_routes = 1024;

/// The newest report of one source and how much of its scores has been taken.
struct source_record {
    report latest;
    instant received_at;
    /// No scores have been taken yet.
    bool is_fresh = true;
    /// Scores as of the last step.
    std::map<route_id, score_table> seen;
    /// Net scores taken, never below zero.
    std::map<route_id, score_table> credit;
};

/// The sources that report to this node about one attempt.
struct collection {
    instant begun;
    std::map<std::string, source_record> sources;
    /// Totals of each route over the latest reports of all sources, without scores.
    std::map<route_id, route_totals> sums;
    /// Reports of further sources were dropped.
    bool has_refused_source = false;
};
inline constexpr std::size_t max_sources = 256;
/// Routes over all sources. Bounds a collection to about 40 MB.
inline constexpr std::size_t max_collected_routes = 32'768;

/// Keeps a report unless a newer one of its source is held; folds the routes beyond
/// `max_collected_routes`. Returns whether it was kept.
bool accept(collection& self, report received, instant now);

/// Number of routes and sources whose own evidence is missing, each counted once a source. A
/// version must not be called sound while there are any.
[[nodiscard]] std::uint32_t count_cut(const collection& self);

/// Scores of one route received since the last step.
struct route_step {
    score_table all{};
    /// Scores without the source with the strongest evidence against the new version, per measure,
    /// so that one faulty entry or combiner cannot decide.
    score_table without_strongest{};
    /// Sources other than the strongest have calls of this route, so that they would see a fault
    /// as well.
    bool has_witnesses = false;
};

/// The scores received since the last call, per route. The score of one entry per step is limited.
[[nodiscard]] std::map<route_id, route_step> take_steps(collection& self);

/// Sums over all sources.
[[nodiscard]] const std::map<route_id, route_totals>& sum_totals(const collection& self);
[[nodiscard]] std::uint32_t count_sources(const collection& self);

/// Removes combined sources that stopped reporting: their members report to another node now.
void drop_silent_groups(collection& self, instant now);

} // namespace cyclamenhatch::moves
