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

/// Distributes configuration: pushes deltas to a few members, sends notices and pulls, and compares
/// versions with a random member periodically. Combines reports into the version in force in each
/// data centre. A held version is never replaced by a lower one, whoever sends it. No I/O: the
/// caller sends the messages and writes the logs.
namespace cyclamenhatch::distribution {

/// Messages to send and events to log, for the caller to carry out.
struct actions {
    std::vector<outgoing> sends;
    std::vector<log_event> logs;
};

/// A rejected version with its findings, as reported by a node.
struct rejection {
    node_id node;
    config_version version;
    std::vector<std::string> findings;
};

/// The versions held in one data centre, as combined by its aggregator.
struct data_centre_status {
    data_centre_id data_centre;
    node_id aggregator;
    std::uint64_t sequence = 0;
    config_version lowest;
    config_version newest;
    std::uint32_t nodes = 0;
    std::uint32_t nodes_at_newest = 0;
    /// Bounded; lowest version first.
    std::vector<node_id> laggards;
    std::vector<rejection> rejections;
    instant received_at;
};

/// When this node accepted a version and when every live member held it.
struct version_progress {
    config_version version;
    instant accepted_at;
    /// The epoch (zero) until every live member of every data centre holds it.
    instant in_force_at;
    std::uint32_t nodes = 0;
    node_id slowest;
    std::vector<operation_id> operations;
};

/// A version that this node does not pull for a while.
struct refused_version {
    config_version version;
    digest_id digest;
    instant refused_at;
    /// Deltas that did not produce the stated digest; the second one refuses the version. 0 for a
    /// version that is refused already.
    int mismatches = 0;
};

/// The newest version that another member is known to hold.
struct newest_seen {
    config_version version;
    digest_id digest;
    node_id holder;
};

/// The current request for a newer configuration.
struct pull_state {
    bool is_in_flight = false;
    node_id target;
    instant sent;
    instant not_before;
};

/// Progress of the comparison with other members, made at start and after a pause.
struct refresh_state {
    instant started;
    std::set<node_id> compared;
    bool has_store_answer = false;
};

/// The latest report of a node to the aggregator of its data centre.
struct node_report {
    config_version version;
    std::optional<rejection> rejected;
    instant received_at;
};

/// State of the reports and summaries that tell which version is in force.
struct reporting_state {
    node_id aggregator;
    std::vector<data_centre_id> live_data_centres;
    /// Generation of the member table from which the two fields above were computed.
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

/// Messages and bytes sent, and deltas received, since this node started. Bytes count sections,
/// patches, names and digests, without the framing of the messages.
struct transfer_counts {
    std::uint64_t delta_messages = 0;
    std::uint64_t delta_bytes = 0;
    std::uint64_t snapshot_messages = 0;
    std::uint64_t snapshot_bytes = 0;
    std::uint64_t pull_messages = 0;
    std::uint64_t pull_bytes = 0;
    /// Received deltas that produced a newer version, at once or after their base was held.
    std::uint64_t deltas_needed = 0;
    /// Received deltas whose version, or a later one, was already held.
    std::uint64_t deltas_not_needed = 0;
    /// Received deltas that did not produce their digest from the held configuration.
    std::uint64_t deltas_missed = 0;
};

/// State of one node. Plain data; the caller serialises access.
struct state {
    msg::distribution_settings_msg settings;
    /// Null until the first configuration is held. Version 0 without sections is a configuration.
    snapshot_ptr config;
    std::map<data_centre_id, data_centre_status> data_centres;
    /// The latest versions, oldest first; bounded.
    std::vector<version_progress> progress;
    /// Set by make_state and after a pause; cleared once this node has compared what it holds with
    /// several members or the store. A node takes no calls while it is set.
    bool needs_refresh = true;
    transfer_counts counts;
    /// The latest versions held, oldest first, as bases for deltas; bounded. Sections are shared.
    std::vector<snapshot_ptr> history;
    /// Deltas whose base is newer than the held version; bounded.
    std::vector<msg::config_delta_msg> pending_deltas;
    std::vector<refused_version> refused;
    newest_seen newest;
    pull_state pull;
    /// Set when a patch did not fit; pulls ask for whole sections until a configuration is adopted.
    bool needs_whole_sections = false;
    refresh_state refresh;
    instant next_exchange;
    /// Whole configurations sent since the window began.
    std::uint32_t snapshots_in_window = 0;
    instant snapshot_window;
    reporting_state reporting;
    /// The last head of the store below the held version, and the last conflicting digest of the
    /// held version: each is logged once.
    config_version logged_lower_head;
    digest_id logged_conflict;
};

[[nodiscard]] state make_state(const msg::distribution_settings_msg& settings, instant now);

/// Offers a configuration read from the store or written by this node. It is adopted if it is newer
/// than the held one and dropped otherwise. A lower version is logged as an error, once per
/// version.
void offer_config(state& self, const membership::table& members, const snapshot_ptr& config,
                  instant now, random_source& random, actions& out);

/// Logs and reports a configuration from the store that failed its checks.
void report_rejected_config(state& self, const membership::table& members, config_version version,
                            const findings& problems, instant now, actions& out);

/// Sends pulls, notices, reports and summaries that are due. Call about every 100 ms.
void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& out);

/// Handles config_* and in_force_* messages; other kinds are ignored.
void on_message(state& self, const membership::table& members, const incoming& message, instant now,
                random_source& random, actions& out);

/// Starts a refresh after a pause of this process; is_ready is false until it ends.
void on_pause(state& self, instant now);

/// Whether the held configuration has been compared with others since the start or last pause.
[[nodiscard]] bool is_ready(const state& self);

/// Whether this node is one of those that watch the head of the store. While a few members of the
/// data centre cannot reach the store, one more than usual does, as the same fault may have hit the
/// next.
[[nodiscard]] bool is_store_watcher(const state& self, const membership::table& members);

/// Whether this node may hand the watch on at the first sign that the store does not hear it. Not
/// when several others have: then the store is down or slow, and the duty would go around.
[[nodiscard]] bool may_hand_watch_on_early(const membership::table& members);

/// The members that watch the store or stand by for that, without this node.
[[nodiscard]] std::vector<node_id> list_watch_candidates(const state& self,
                                                         const membership::table& members);

/// The members that this node, standing by to watch the store, would take over from, best first.
/// Empty for all but a few members of each data centre.
[[nodiscard]] std::vector<node_id> list_watchers_ahead(const state& self,
                                                       const membership::table& members);

} // namespace cyclamenhatch::distribution
