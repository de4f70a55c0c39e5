#pragma once

#include "messages/peer_message.h"
#include "model/ids.h"
#include "model/random.h"
#include "model/time.h"
#include "settings_generated.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Who is alive, where, and with which upstream in which state. Probes with suspicion and
/// refutation; table changes ride on probes. Pure decisions: time, randomness and messages are
/// arguments.
namespace cyclamenhatch::membership {

/// One member as this node knows it.
struct member {
    msg::member_record_msg record;
    /// When the present liveness was learnt.
    instant since;
    /// Whether this node's own probes failed, so that it also tells others of the death.
    bool is_own_suspicion = false;
    /// Somebody holds this departed member to be alive: probe it so that it can refute.
    bool wants_recheck = false;
};

struct probe_in_flight {
    std::uint64_t sequence = 0;
    node_id target;
    instant sent;
    bool is_indirect = false;
};

/// A record that still has to be told to others.
struct pending_update {
    node_id about;
    std::uint32_t times_sent = 0;
    /// Rounds of eager pushes made for it.
    std::uint32_t times_pushed = 0;
};

/// A probe that was made for another member, so that its answer can be passed on.
struct relayed_probe {
    std::uint64_t sequence = 0;
    std::uint64_t original_sequence = 0;
    node_id asker;
    node_id target;
    instant sent;
};

/// A page-wise read of others' tables: from this node's own id to the end, then from the start.
struct table_sync {
    bool is_active = false;
    /// Position that was reached.
    std::string after;
    bool has_wrapped = false;
    /// The present request is given up then and made to somebody else.
    instant retry_at;
    /// When somebody last answered, or when the sync began.
    instant progress;
    /// Contacts are asked in turn.
    std::size_t next_contact = 0;
    /// Others asked this node for its table before it had joined: it is a contact of theirs.
    bool is_asked = false;
    /// Members that this round brought. Rounds are repeated until one brings hardly any.
    std::size_t news = 0;
    int rounds = 0;
    instant next_round = instant::max();
};

/// The member table of one node. Plain data; the caller serialises access.
struct table {
    msg::membership_settings_msg settings;
    /// This node's own record; it alone raises its incarnation.
    msg::member_record_msg self;
    /// All others, dead and departed ones included until they are forgotten.
    std::map<node_id, member> members;
    std::vector<peer_address> contacts;
    std::vector<node_id> probe_order;
    std::size_t probe_position = 0;
    std::uint64_t next_sequence = 1;
    std::vector<probe_in_flight> probes;
    std::vector<relayed_probe> relayed;
    std::vector<pending_update> updates;
    instant last_tick;
    instant next_probe;
    table_sync sync;
    /// When a departed member or a contact that is no member is next tried again.
    instant next_rejoin;
    /// When a page of somebody's table is next compared with this one.
    instant next_audit;
    /// Departed members are tried more often until then, after one of them answered.
    instant rejoining_until;
    /// Bytes that eager pushes may still take.
    double push_budget_bytes = 0;
    instant push_refilled;
    /// Pages served since the window began.
    std::uint32_t pages_in_window = 0;
    instant page_window;
    /// Set once a full member table has been received from someone, or nobody is to be found.
    bool has_joined = false;
    /// Raised at each change of any record; readers compare it to see whether to rebuild views.
    std::uint64_t generation = 1;
    /// How often a pause of this process was noticed.
    std::uint64_t pauses = 0;
};

/// A table that knows only this node. `self.incarnation` must exceed that of any earlier process
/// with the same node id: use the start time in milliseconds.
[[nodiscard]] table make_table(const msg::membership_settings_msg& settings,
                               msg::member_record_msg self,
                               const std::vector<peer_address>& contacts, instant now);

/// Call about every 100 ms. Sends probes, times out, suspects, declares dead, forgets, joins.
[[nodiscard]] std::vector<outgoing> on_tick(table& state, instant now, random_source& random);

/// Handles probe, probe_ack, member_sync and member_page; other kinds are ignored.
[[nodiscard]] std::vector<outgoing> on_message(table& state, const incoming& from, instant now,
                                               random_source& random);

/// Announces the upstream beside this node, or its change of state.
void set_upstream(table& state, const msg::upstream_record_msg& upstream, instant now);

/// Announces whether this node reaches the store; a no-op when nothing changes.
void set_store_away(table& state, bool is_away);

/// Marks this node as left and tells some members at once. Nothing is sent after that but answers.
[[nodiscard]] std::vector<outgoing> leave(table& state, instant now, random_source& random);

/// Adds contacts found elsewhere, as in the store. Duplicates and this node's own are left out.
void add_contacts(table& state, const std::vector<peer_address>& contacts);

/// The record of a member, this node included; null when unknown.
[[nodiscard]] const msg::member_record_msg* find_record(const table& state, const node_id& node);

/// Where a member's links are reached.
[[nodiscard]] peer_address link_address(const msg::member_record_msg& record);

/// Members that are alive or suspect, this node included, in order of id.
[[nodiscard]] std::vector<const msg::member_record_msg*> live_records(const table& state);

} // namespace cyclamenhatch::membership
