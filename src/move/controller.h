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

/// What the controller of a move decides from the evidence of all entries. Pure. Two controllers at
/// once do no harm, since all they give out are permits and vetoes; a new one goes on from the
/// permits it knows.
namespace cyclamenhatch::moves {

/// Ready slots of both versions.
struct ready_slots {
    std::uint32_t on_new = 0;
    std::uint32_t on_old = 0;
};

/// What a decision rests on besides the evidence.
struct control_facts {
    const move& planned;
    const attempt_record& known;
    ready_slots ready;
    node_id self;
    std::uint32_t false_alarm_ppm = 100;
    /// Share of the service's calls that a bad version may get in all, and calls beyond it.
    std::uint32_t exposure_permille = 100;
    std::uint32_t exposure_slack = 50;
    /// A veto of this node needs no second.
    bool holds_alone = false;
};

/// The judgements as they stood at a time.
struct past_judgements {
    instant at;
    judgements routes;
};

/// The counts of all entries as they stood at a time.
struct past_counts {
    instant at;
    std::map<route_id, route_totals> totals;
};

struct control_state {
    collection collected;
    /// Used for brief moves: the counts of the last moments, oldest first.
    std::deque<past_counts> past_totals;
    judgements routes;
    /// Those of the last seconds, oldest first, to return to when endpoints turn out to have died.
    std::vector<past_judgements> past;
    instant last_step;
    /// The stage that the counts below belong to.
    std::uint32_t stage = 0;
    std::uint32_t permille = 0;
    std::uint64_t calls_before_stage = 0;
    /// How often the controller stepped back from the full share to compare.
    std::uint32_t checks = 0;
    /// Slots in use, estimated from latencies.
    double busy_slots = 0;
    std::uint64_t last_busy_us = 0;
    /// Ready slots of the new version, and when some of them last began to serve.
    std::uint32_t ready_on_new = 0;
    instant cold_since;
    /// When endpoints of the new version last disappeared.
    instant lost_since;
    /// When there was last no evidence to speak of.
    instant clear_at;
    /// Why the next stage waits, for logs and status; empty when it does not.
    std::string waiting_for;
};

/// The move has succeeded.
struct finish {
    std::string reason;
    instant in_force_at;
};

using decision = std::variant<std::monostate, permit, veto, finish>;

/// Takes over what was reported since the last step. Call at any rate; steps are
/// `control_step` apart.
void observe(control_state& self, const control_facts& facts, instant now);
inline constexpr milliseconds control_step{500};

/// Calls on the new version over all sources.
[[nodiscard]] std::uint64_t calls_on_new(const control_state& self);

[[nodiscard]] decision decide(control_state& self, const control_facts& facts, instant now);

/// Whether this controller's own view agrees with a veto that another node raised.
[[nodiscard]] bool is_borne_out(const control_state& self, const control_facts& facts,
                                const veto& heard, instant now);

} // namespace cyclamenhatch::moves
