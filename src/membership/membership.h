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

/// Tracks which members are alive, their addresses and the state of their upstreams. Failures are
/// detected by probes with suspicion and refutation; table changes are piggybacked on probes. No
/// I/O: time, randomness and messages are arguments.
namespace cyclamenhatch::membership {

/// One member as this node knows it.
struct member {
    msg::member_record_msg record;
    /// When the current liveness was learnt.
    instant since;
    /// Whether the suspicion comes from this node's own probes, so that it also announces the
    /// death.
    bool is_own_suspicion = false;
    /// Another member reports this departed member as alive: probe it so that it can refute.
    bool wants_recheck = false;
    /// It announces an upstream run that has left: the next message to it contains its record, from
    /// which it recovers the leave.
    bool must_learn_leave = false;
};

struct probe_in_flight {
    std::uint64_t sequence = 0;
    node_id target;
    instant sent;
    bool is_indirect = false;
};

/// A record that still has to be sent to others.
struct pending_update {
    node_id node;
    std::uint32_t times_sent = 0;
    /// Rounds of pushes made for it.
    std::uint32_t times_pushed = 0;
};

/// A probe sent on behalf of another member, kept so that its answer can be forwarded.
struct relayed_probe {
    std::uint64_t sequence = 0;
    std::uint64_t original_sequence = 0;
    node_id requester;
    node_id target;
    instant sent;
};

/// A read of other members' tables by pages: from this node's own id to the end, then from the
/// start.
struct table_sync {
    bool is_active = false;
    /// Id of the last record read.
    std::string after;
    bool has_wrapped = false;
    /// When the current request is given up and sent to another member.
    instant retry_at;
    /// When the last answer arrived, or when the round began.
    instant progress;
    /// Contacts are asked in turn.
    std::size_t next_contact = 0;
    /// Others asked this node for its table before it had joined, so it is one of their contacts.
    bool is_asked = false;
    /// Records that this round has changed. Rounds are repeated until one changes hardly any.
    std::size_t changed_records = 0;
    int rounds = 0;
    instant next_round = instant::max();
};

/// The member table of one node. Plain data; the caller serialises access.
struct table {
    msg::membership_settings_msg settings;
    /// This node's own record; it alone raises its incarnation.
    msg::member_record_msg self;
    /// All others, including dead and departed ones until they are forgotten.
    std::map<node_id, member> members;
    std::vector<peer_address> contacts;
    std::vector<node_id> probe_order;
    std::size_t probe_position = 0;
    /// Members that are probed in every interval, so that their failure is noticed soon.
    std::vector<node_id> attended;
    std::uint64_t next_sequence = 1;
    std::vector<probe_in_flight> probes;
    std::vector<relayed_probe> relayed_probes;
    std::vector<pending_update> updates;
    instant last_tick;
    instant next_probe;
    table_sync sync;
    /// When a departed member, or a contact that is no member, is next retried.
    instant next_rejoin;
    /// When a page of another member's table is next read.
    instant next_audit;
    /// Until then departed members are retried more often, since one of them has answered.
    instant fast_rejoin_until;
    /// Bytes that pushes may still use; may become negative.
    double push_budget_bytes = 0;
    instant push_refilled;
    /// Pages served since the window began.
    std::uint32_t pages_in_window = 0;
    instant page_window;
    /// Set once a full member table has been received, or when nobody answers.
    bool has_joined = false;
    /// Incremented at each change of any record, so that readers know when to rebuild derived data.
    std::uint64_t generation = 1;
    /// Number of detected pauses of this process.
    std::uint64_t pauses = 0;
};

/// A table that contains only this node. `self.incarnation` must exceed that of any earlier process
/// with the same node id: use the start time in milliseconds.
[[nodiscard]] table make_table(const msg::membership_settings_msg& settings,
                               msg::member_record_msg self,
                               const std::vector<peer_address>& contacts, instant now);

/// Sends probes, pages and updates that are due, and advances members from suspect to dead to
/// forgotten. Call about every 100 ms.
[[nodiscard]] std::vector<outgoing> on_tick(table& state, instant now, random_source& random);

/// Handles probe, probe_ack, member_sync and member_page; other kinds are ignored.
[[nodiscard]] std::vector<outgoing> on_message(table& state, const incoming& message, instant now,
                                               random_source& random);

/// Announces the upstream beside this node, or a change of its state. Returns the messages to be
/// sent before a leave of the upstream is confirmed to it, so that others know of it even if this
/// process ends now.
[[nodiscard]] std::vector<outgoing> set_upstream(table& state,
                                                 const msg::upstream_record_msg& upstream,
                                                 instant now, random_source& random);

/// Applies a leave of the upstream beside this node that an earlier process has confirmed; a no-op
/// when this node announces another run.
void recover_own_leave(table& state, const msg::upstream_record_msg& leave);

/// Sets the members that this node probes in every interval, beside the one whose turn it is. One
/// that fails is suspected within about `probe_interval_ms` and the time in which a probe fails.
void set_attended(table& state, std::vector<node_id> members);

/// Announces whether this node reaches the store; a no-op when nothing changes. Returns the
/// messages that tell `receivers` at once; the others learn of it by the usual updates.
[[nodiscard]] std::vector<outgoing> set_store_unreachable(table& state, bool is_unreachable,
                                                          const std::vector<node_id>& receivers);

/// Marks this node as left and returns the messages that announce it. Afterwards only answers are
/// sent.
[[nodiscard]] std::vector<outgoing> leave(table& state, instant now, random_source& random);

/// Adds contacts, such as those found in the store. Skips duplicates and this node's own address. A
/// node that is still looking for a first member asks them at its next tick.
void add_contacts(table& state, const std::vector<peer_address>& contacts, instant now);

/// The record of a member, this node included; null when unknown.
[[nodiscard]] const msg::member_record_msg* find_record(const table& state, const node_id& node);

/// The address at which a member accepts links.
[[nodiscard]] peer_address link_address(const msg::member_record_msg& record);

/// Members that are alive or suspect, this node included, in order of id.
[[nodiscard]] std::vector<const msg::member_record_msg*> live_records(const table& state);

} // namespace cyclamenhatch::membership
