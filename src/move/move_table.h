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
/// and from others, the controller's decisions if this node has that duty, and the closing record.
namespace cyclamenhatch::moves {

/// Output of a step, to be carried out by the caller.
struct actions {
    std::vector<outgoing> sends;
    std::vector<log_event> logs;
    /// Changes to write; each is proposed again until the configuration shows the ending.
    std::vector<store::move_close> closes;
};

/// This node's state of one move that has not ended.
struct open_move {
    move planned;
    entry_evidence evidence;
    /// Until this time this entry holds back calls to the new version on its own evidence.
    instant held_back_until;
    /// Share in force at this entry.
    std::uint32_t permille = 0;
    topology current_topology;
    instant next_report;
    /// Used while this node is a controller of the move.
    control_state control;
    closing_state closing;
    /// Used while this node combines reports of its data centre, by group.
    std::map<std::string, combined_group> groups;
    /// Whether this process started after the order, so that the move may have begun or ended
    /// before.
    bool is_resumed = false;
    /// Whether the records kept apart from the configuration were read since this move was opened.
    bool has_read_record = false;
    /// Whether this node has sent the exchange that asks others for the permits of a new move.
    bool has_asked = false;
    /// Whether it has been logged that evidence was cut.
    bool has_logged_cut = false;
};

/// A move that has ended according to the configuration in force.
struct ended_move {
    move planned;
};

/// The record of a move, when records are kept apart from the configuration.
struct recorded_move {
    /// Absent while the move goes on.
    std::optional<move_outcome> outcome;
    /// When the move was first acted upon.
    std::optional<instant> begun;
};

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
    snapshot_ptr config;
    instant next_exchange;
};

[[nodiscard]] state make_state(const msg::move_settings_msg& settings, instant now);

/// Adds samples of calls through this entry. Cheap; samples of services without an open move are
/// ignored.
void add_samples(state& self, const std::vector<call::call_sample>& samples, instant now);

/// Applies the configuration in force here: opens new moves, cancels and closes others.
void on_config(state& self, const membership::table& members, const snapshot_ptr& config,
               instant now, actions& out);

/// Call about every 100 ms. Raises local vetoes, sends reports, makes the controller's decisions
/// and spreads permits and vetoes.
void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& out);

/// Handles move_evidence and move_state; other kinds are ignored.
void on_message(state& self, const membership::table& members, const incoming& received,
                instant now, random_source& random, actions& out);

/// Whether a resumed move is open whose record has not been read.
[[nodiscard]] bool awaits_records(const state& self);

/// Notes that all records that exist were read and passed to adopt_record.
void note_records_read(state& self);

/// Stores the record of a move and applies it.
void adopt_record(state& self, const attempt_key& key, const recorded_move& record, instant now,
                  actions& out);

/// Applies the stored record of an open move; does nothing when there is none.
void apply_record(state& self, const attempt_key& key, instant now, actions& out);

/// The current share of the new version, for each service with an open move: 0 permille for a
/// vetoed move, 1000 for one whose last stage is permitted.
[[nodiscard]] std::map<service_id, call::version_share> version_shares(const state& self,
                                                                       instant now);

/// Status of one move, for status pages.
struct move_status {
    attempt_key key;
    version_id old_version;
    version_id new_version;
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
    /// When this node opened the move.
    instant begun;
    std::optional<move_ending> ending;
};

[[nodiscard]] std::vector<move_status> list_status(const state& self, instant now);

/// Number of routes whose evidence this node lacks as controller or combiner of a move.
[[nodiscard]] std::uint64_t count_cut_routes(const open_move& open);

/// The same over all open moves.
[[nodiscard]] std::uint64_t count_cut_routes(const state& self);

} // namespace cyclamenhatch::moves
