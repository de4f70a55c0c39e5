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
    std::map<route_id, route_totals> routes;
};

[[nodiscard]] report make_report(const attempt_key& key, const std::string& source,
                                 const entry_evidence& evidence, instant now,
                                 bool has_latencies = false);

[[nodiscard]] msg::move_evidence_msg to_message(const report& sent, const version_id& from_version,
                                                const version_id& to_version);

/// At most `max_report_routes` routes are read.
[[nodiscard]] report from_message(const msg::move_evidence_msg& message,
                                  const version_id& to_version);
inline constexpr std::size_t max_report_routes = 64;

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
};
inline constexpr std::size_t max_sources = 256;

/// Keeps a report unless a newer one of its source is held. Returns whether it was kept.
bool accept(collection& self, const report& received, instant now);

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
[[nodiscard]] std::map<route_id, route_totals> sum_totals(const collection& self);
[[nodiscard]] std::uint32_t count_sources(const collection& self);

/// Removes combined sources that stopped reporting: their members report to another node now.
void drop_silent_groups(collection& self, instant now);

} // namespace cyclamenhatch::moves
