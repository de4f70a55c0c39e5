#pragma once

#include "model/resources.h"
#include "model/time.h"
#include "move/judgement.h"
#include "move/permits.h"
#include "move/reports.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Decisions of a move's controller from the evidence of all entries. Pure functions. Two
/// concurrent controllers are harmless, since they only issue permits and vetoes; a new controller
/// continues from the permits it knows.
namespace cyclamenhatch::moves {

/// Ready slots of both versions.
struct ready_slots {
    std::uint32_t on_new = 0;
    std::uint32_t on_old = 0;
};

/// Inputs of a decision besides the evidence.
struct control_facts {
    const move& planned;
    const attempt_record& record;
    ready_slots ready;
    node_id self;
    std::uint32_t false_alarm_ppm = 100;
    /// Limit on the calls that a bad version may receive: a share of all calls of the service, plus
    /// a fixed number of calls.
    std::uint32_t exposure_permille = 100;
    std::uint32_t exposure_slack = 50;
    /// A veto of this node needs no second one to take effect.
    bool single_veto_suffices = false;
};

/// The judgements at time `at`.
struct past_judgements {
    instant at;
    judgements routes;
};

/// The counts of all entries at time `at`.
struct past_counts {
    instant at;
    std::map<route_id, route_totals> totals;
};

struct control_state {
    collection collected;
    /// Used for brief moves: recent counts, oldest first.
    std::deque<past_counts> past_totals;
    judgements routes;
    /// Recent judgements, oldest first; restored when endpoints turn out to have died.
    std::vector<past_judgements> past;
    instant last_step;
    /// The stage that the counts below belong to.
    std::uint32_t stage = 0;
    std::uint32_t permille = 0;
    std::uint64_t calls_before_stage = 0;
    /// Number of times the controller went back from the full share to compare the versions.
    std::uint32_t checks = 0;
    /// Slots in use, estimated from latencies.
    double busy_slots = 0;
    std::uint64_t last_busy_us = 0;
    /// Ready slots of the new version, and when some of them last began to serve.
    std::uint32_t ready_on_new = 0;
    instant cold_since;
    /// When endpoints of the new version last disappeared.
    instant lost_since;
    /// Last time at which the evidence was below `early_level`.
    instant clear_at;
    /// What the next stage waits for, for logs and status; empty when it does not wait.
    std::string waiting_for;
};

/// The move has succeeded.
struct finish {
    std::string reason;
    instant in_force_at;
};

using decision = std::variant<std::monostate, permit, veto, finish>;

/// Applies the reports received since the last step. May be called at any rate; steps are at least
/// `control_step` apart.
void observe(control_state& self, const control_facts& facts, instant now);
inline constexpr milliseconds control_step{500};

/// Calls on the new version over all sources.
[[nodiscard]] std::uint64_t calls_on_new(const control_state& self);

[[nodiscard]] decision decide(control_state& self, const control_facts& facts, instant now);

/// Whether this controller's own evidence supports a veto that another node raised.
[[nodiscard]] bool supports_veto(const control_state& self, const control_facts& facts,
                                 const veto& raised, instant now);

} // namespace cyclamenhatch::moves
