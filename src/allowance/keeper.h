#pragma once

#include "allowance/limit.h"
#include "messages/peer_message.h"
#include "model/log_event.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The keeper's side: token buckets of the workspaces that rendezvous hashing assigns to this node.
namespace cyclamenhatch::allowance {

/// A keeper that hears from no other node for this long, or does not run for this long, lends
/// nothing: others may take its place. Must be shorter than the time in which members find a node
/// dead.
inline constexpr microseconds touch_time{1'000'000};
/// How long a new keeper without a handover waits until it lends at the full rate. Covers the time
/// in which a predecessor whose table of members differs still lends.
inline constexpr microseconds takeover_time{1'000'000};
/// Share of the rate that is lent in that time.
inline constexpr double takeover_share = 0.2;
/// A dead member counts for the majority for this long after its death was noticed.
inline constexpr seconds memory_of_dead{30};

/// The allowance of one workspace at its keeper.
struct kept_limit {
    limit stated;
    /// Calls that can be lent now.
    double tokens = 0;
    instant filled_at;
    /// Until then the bucket fills at takeover_share of the rate.
    instant full_rate_at;
    /// Calls that were asked for and not lent, less those that the rate has served since.
    double backlog = 0;
    std::uint64_t asked = 0;
    std::uint64_t lent = 0;
    /// The last ask that was not met.
    instant refused_at;
    /// The refusals in progress were logged.
    bool is_refusal_noted = false;
};

/// What a predecessor has left to lend, until this node's own table of members makes it the keeper.
struct handover {
    node_id from;
    double tokens = 0;
    instant received_at;
};

/// What the keeper sees of the fleet.
struct surroundings {
    /// The live nodes, this one included.
    const std::vector<call::peer>& live;
    /// Share of the nodes, dead ones of the last memory_of_dead included, that are alive and not
    /// suspect.
    double reachable_share = 1;
    /// Null while no configuration is known.
    snapshot_ptr config;
    /// Has compared its table of members with others.
    bool has_joined = false;
};

/// Plain data; the caller serialises access.
struct keeper_state {
    node_id self;
    rules stated;
    std::map<workspace_id, kept_limit> kept;
    std::map<workspace_id, handover> handovers;
    /// What the kept workspaces were chosen by.
    std::vector<node_id> chosen_among;
    snapshot_ptr chosen_by;
    double reachable_share = 1;
    bool is_alone = true;
    bool has_joined = false;
    instant last_tick;
    instant last_heard;
};

struct keeper_actions {
    std::vector<outgoing> sends;
    std::vector<log_event> logs;
};

/// Share of the rate that a keeper lends when it reaches this share of the nodes: all of it above
/// four fifths, nothing below one fifth, otherwise the same share. The keepers on the sides of a
/// cut thus lend at most the rate together.
[[nodiscard]] double lendable_share(double reachable_share);

/// Takes on and gives up workspaces, and applies changed limits. Call about every 100 ms.
void on_tick(keeper_state& self, const surroundings& around, instant now, keeper_actions& out);

/// Notes that another node was heard from; call it for each of its messages.
void note_heard(keeper_state& self, instant now);

/// Answers an allowance_request, and keeps a handover; other kinds are ignored. A request for
/// workspaces that this node cannot vouch for stays without an answer. Returns the answer, to be
/// sent to the asking node.
[[nodiscard]] std::optional<peer_message> on_message(keeper_state& self, const incoming& received,
                                                     instant now, keeper_actions& out);

} // namespace cyclamenhatch::allowance
