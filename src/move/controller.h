#pragma once

#include "model/resources.h"
#include "model/time.h"
#include "move/permits.h"
#include "move/reports.h"
#include "move/verdict.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

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
    /// A veto of this node needs no second.
    bool holds_alone = false;
};

/// Evidence on one measure from all sources, and from all but the strongest.
struct weighed_evidence {
    detector all;
    detector without_strongest;
};

struct route_judgement {
    std::array<weighed_evidence, measure_count> concurrent;
    /// Against the old version's earlier calls; only makes the controller compare side by side.
    std::array<weighed_evidence, measure_count> earlier;
    bool has_witnesses = false;
};

/// Name under which the evidence of all routes together is judged.
inline constexpr std::string_view all_routes = "*";

struct control_state {
    collection collected;
    std::map<route_id, route_judgement> routes;
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

[[nodiscard]] decision decide(control_state& self, const control_facts& facts, instant now);

/// Whether this controller's own view agrees with a veto that another node raised.
[[nodiscard]] bool is_borne_out(const control_state& self, const control_facts& facts,
                                const veto& heard, instant now);

/// The level of the evidence that counts: all of it when the sources other than the strongest agree
/// or carry no calls of the route, otherwise theirs.
[[nodiscard]] double agreed_level(const weighed_evidence& of, bool has_witnesses);

/// The strongest evidence against the new version over all routes.
struct worst_finding {
    route_id route;
    measure what = measure::errors;
    double level = 0;
};

[[nodiscard]] worst_finding worst_concurrent(const control_state& self);

} // namespace cyclamenhatch::moves
