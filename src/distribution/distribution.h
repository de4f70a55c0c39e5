#pragma once

#include "membership/membership.h"
#include "messages/peer_message.h"
#include "model/log_event.h"
#include "model/random.h"
#include "model/snapshot.h"
#include "model/time.h"
#include "settings_generated.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Spreads configuration: eager deltas over a few links, notices, pulls and a periodic exchange
/// with a random member; combines acknowledgements into what is in force where. A version held is
/// never replaced by a lower one, whoever sends it. Pure decisions.
namespace cyclamenhatch::distribution {

/// What a step wants done.
struct actions {
    std::vector<outgoing> sends;
    std::vector<log_event> logs;
};

/// A rejected version with its findings, as some node reported it.
struct rejection {
    node_id node;
    config_version version;
    std::vector<std::string> findings;
};

/// What one data centre holds, combined by its aggregator.
struct data_centre_status {
    data_centre_id data_centre;
    node_id aggregator;
    std::uint64_t sequence = 0;
    config_version lowest;
    config_version newest;
    std::uint32_t nodes = 0;
    std::uint32_t nodes_at_newest = 0;
    /// Bounded; the slowest first.
    std::vector<node_id> laggards;
    std::vector<rejection> rejections;
    instant heard;
};

/// When a version was first held here and when it was in force everywhere.
struct version_progress {
    config_version version;
    instant accepted;
    /// Epoch until every live member of every data centre holds it.
    instant in_force;
    std::uint32_t nodes = 0;
    node_id slowest;
    std::vector<operation_id> operations;
};

/// A version that this node will not ask for again for a while.
struct refused_version {
    config_version version;
    digest_id digest;
    instant at;
    /// Deltas that did not lead to the stated digest; the second one refuses the version.
    int mismatches = 0;
};

/// The newest version that somebody else is known to hold.
struct newest_seen {
    config_version version;
    digest_id digest;
    node_id holder;
};

/// The present request for a newer configuration.
struct pull_state {
    bool is_in_flight = false;
    node_id target;
    instant sent;
    instant not_before;
};

/// The comparison with others that a node makes at its start and after a pause.
struct refresh_state {
    instant started;
    std::set<node_id> compared;
    bool has_store_answer = false;
};

/// What a node told the aggregator of its data centre, or an aggregator heard from a node.
struct node_report {
    config_version version;
    std::optional<rejection> rejected;
    instant heard;
};

/// This node's side of reporting what is in force.
struct reporting_state {
    node_id aggregator;
    std::vector<data_centre_id> live_data_centres;
    /// Generation of the member table that the two above were worked out from.
    std::uint64_t generation = 0;
    std::optional<rejection> rejected;
    bool is_report_due = true;
    instant next_report;
    /// Used while this node is the aggregator.
    std::map<node_id, node_report> reports;
    instant aggregating_since;
    instant last_summary;
    instant next_summary;
    bool is_repeat_due = false;
};

/// What this node has handed out and taken in since its start. Bytes are those of sections,
/// patches, names and digests, without the framing of the messages.
struct transfer_counts {
    std::uint64_t delta_messages = 0;
    std::uint64_t delta_bytes = 0;
    std::uint64_t snapshot_messages = 0;
    std::uint64_t snapshot_bytes = 0;
    std::uint64_t pull_messages = 0;
    std::uint64_t pull_bytes = 0;
    /// Deltas that arrived and led to a newer version, at once or once their base was held.
    std::uint64_t deltas_needed = 0;
    /// Deltas that arrived when their version, or a later one, was held already.
    std::uint64_t deltas_not_needed = 0;
    /// Deltas that did not lead to their digest from what was held.
    std::uint64_t deltas_missed = 0;
};

/// State of one node. Plain data; the caller serialises access.
struct state {
    msg::distribution_settings_msg settings;
    /// Null until the first configuration is held; version 0 with no sections is a configuration.
    snapshot_ptr held;
    std::map<data_centre_id, data_centre_status> data_centres;
    /// The latest versions, oldest first; bounded.
    std::vector<version_progress> progress;
    /// Set by make_state and after a pause; cleared once this node has compared what it holds with
    /// several members or the store. A node takes no calls while it is set.
    bool needs_refresh = true;
    transfer_counts counts;
    /// The latest versions held, oldest first, to make deltas from; bounded. Sections are shared.
    std::vector<snapshot_ptr> history;
    /// Deltas that start above what is held; bounded.
    std::vector<msg::config_delta_msg> stashed;
    std::vector<refused_version> refused;
    newest_seen newest;
    pull_state pull;
    /// A patch that answered a pull did not fit; whole sections are asked for until one is adopted.
    bool needs_whole_sections = false;
    refresh_state refresh;
    instant next_exchange;
    /// Whole configurations sent since the window began.
    std::uint32_t snapshots_in_window = 0;
    instant snapshot_window;
    reporting_state reporting;
    /// The last head of the store below what is held, and the last digest that differs from it at
    /// the same version: each is logged once.
    config_version logged_lower_head;
    digest_id logged_conflict;
};

[[nodiscard]] state make_state(const msg::distribution_settings_msg& settings, instant now);

/// Offers a configuration that came from the store, or that this node wrote. Lower or equal
/// versions are dropped. A head in the store below what is held is logged as an error, once per
/// head.
void offer(state& self, const membership::table& members, const snapshot_ptr& found, instant now,
           random_source& random, actions& wanted);

/// Reports a configuration from the store that this node had to reject.
void reject(state& self, const membership::table& members, config_version version,
            const findings& found, instant now, actions& wanted);

/// Call about every 100 ms: notices, exchange, reports to the aggregator, summaries.
void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& wanted);

/// Handles config_* and in_force_* messages; other kinds are ignored.
void on_message(state& self, const membership::table& members, const incoming& from, instant now,
                random_source& random, actions& wanted);

/// Marks this node as in need of a refresh after a pause.
void on_pause(state& self, instant now);

/// Whether this node holds a configuration that it has compared with others since start or pause.
[[nodiscard]] bool is_ready(const state& self);

/// Whether this node should watch the store's head now.
[[nodiscard]] bool is_store_watcher(const state& self, const membership::table& members);

} // namespace cyclamenhatch::distribution
