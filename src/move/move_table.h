#pragma once

#include "call/call_sample.h"
#include "call/routing_view.h"
#include "membership/membership.h"
#include "messages/peer_message.h"
#include "model/log_event.h"
#include "model/random.h"
#include "model/resources.h"
#include "model/snapshot.h"
#include "model/time.h"
#include "move/attempt_key.h"
#include "move/closing.h"
#include "move/combining.h"
#include "move/controller.h"
#include "move/evidence.h"
#include "move/permits.h"
#include "move/topology.h"
#include "settings_generated.h"
#include "store/change.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Moves of traffic on one node: permits and vetoes as monotone values, evidence from this entry
/// and from others, the controller's decisions where this node has that duty, and the closing
/// change.
namespace cyclamenhatch::moves {

/// What a step wants done.
struct actions {
    std::vector<outgoing> sends;
    std::vector<log_event> logs;
    /// Changes to write; each is proposed again until the configuration shows the ending.
    std::vector<store::move_close> closes;
};

/// One move that has not ended, as this node takes part in it.
struct open_move {
    move planned;
    entry_evidence evidence;
    /// Until then calls to the new version are held back here on this entry's own evidence.
    instant held_back_until;
    /// Share in force at this entry.
    std::uint32_t permille = 0;
    topology around;
    instant next_report;
    /// Used while this node is a controller of the move.
    control_state control;
    closing_state closing;
    /// Used while this node combines reports of its data centre, by group.
    std::map<std::string, combined_group> groups;
    /// A newcomer asks others at once what is permitted.
    bool has_asked = false;
};

/// What has ended, by the configuration in force.
struct ended_move {
    move planned;
};

/// What the record of a move says, where records are kept apart from the configuration.
struct recorded_move {
    /// Absent while the move goes on.
    std::optional<move_outcome> outcome;
    /// When the move was first acted upon.
    std::optional<instant> begun;
};

/// The stage that a record of success stands for; above all that a controller permits.
inline constexpr std::uint32_t recorded_stage = 1'000'000;

/// State of one node. Plain data; the caller serialises access.
struct state {
    msg::move_settings_msg settings;
    node_id self;
    std::map<attempt_key, open_move> open;
    /// Permits and vetoes, also of attempts whose configuration has not arrived yet.
    std::map<attempt_key, attempt_record> records;
    /// The open move of each service.
    std::map<service_id, attempt_key> by_service;
    std::vector<ended_move> ended;
    /// Records that were read, also of attempts whose configuration has not arrived yet.
    std::map<attempt_key, recorded_move> recorded;
    snapshot_ptr held;
    instant next_exchange;
};

[[nodiscard]] state make_state(const msg::move_settings_msg& settings, instant now);

/// Adds what calls through this entry showed. Cheap; samples of services without an open move are
/// dropped.
void record(state& self, const std::vector<call::call_sample>& samples, instant now);

/// Tells of the configuration in force here: new moves, cancelled ones, ended ones.
void on_config(state& self, const membership::table& members, const snapshot_ptr& held, instant now,
               actions& wanted);

/// Call about every 100 ms: local veto, evidence reports, the controller's decisions, spreading.
void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& wanted);

/// Handles move_evidence and move_state; other kinds are ignored.
void on_message(state& self, const membership::table& members, const incoming& from, instant now,
                random_source& random, actions& wanted);

/// Takes over what the record of a move says.
void adopt_record(state& self, const attempt_key& key, const recorded_move& record, instant now,
                  actions& wanted);

/// Applies what was recorded about a move that is open here; does nothing when nothing was.
void apply_record(state& self, const attempt_key& key, instant now, actions& wanted);

/// How calls are divided now, for each service with an open move; a vetoed move has 0 permille, one
/// whose last stage is permitted 1000.
[[nodiscard]] std::map<service_id, call::version_share> shares(const state& self, instant now);

/// What is known of one move, for status pages.
struct move_status {
    attempt_key key;
    version_id from;
    version_id to;
    instant deadline;
    /// waiting, ramping, baking, closing, done or taken_back.
    std::string phase;
    std::uint32_t stage = 0;
    std::uint32_t permille = 0;
    std::uint64_t calls_on_new = 0;
    std::uint64_t errors_on_new = 0;
    std::string veto_reason;
    /// What the next stage waits for; known to the controller only.
    std::string waiting_for;
    bool is_controller = false;
    /// When this node learnt of the move.
    instant begun;
    std::optional<move_ending> ending;
};

[[nodiscard]] std::vector<move_status> list_status(const state& self, instant now);

} // namespace cyclamenhatch::moves
