#pragma once

#include "call/quarantine_view.h"
#include "messages/peer_message.h"
#include "model/ids.h"
#include "model/snapshot.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace cyclamenhatch::call {

/// One upstream with the node beside it, as a candidate for calls.
struct endpoint {
    node_id node;
    peer_address link;
    region_id region;
    data_centre_id data_centre;
    version_id version;
    msg::upstream_state state = msg::upstream_state::none;
    std::uint32_t slots = 0;
    /// Remaining warm-up time that the upstream stated in its last announcement.
    milliseconds warm_up_time{0};
    /// Changes when the node beside the upstream restarts or its record changes.
    std::uint64_t incarnation = 0;
    /// Identifies the run of the upstream; empty when it states none.
    std::string instance;
    /// When that run started, milliseconds since the Unix epoch by its own clock; 0 if unknown.
    std::uint64_t started_ms = 0;
    bool is_suspect = false;
    /// Operators have evacuated its data centre.
    bool is_evacuated = false;
};

/// Whether the endpoint's state allows new calls. One that doesn't may still run earlier ones.
[[nodiscard]] inline bool takes_calls(const endpoint& candidate) {
    return candidate.state == msg::upstream_state::ready && !candidate.is_evacuated;
}

/// A live node.
struct peer {
    node_id node;
    peer_address link;
};

/// The versions that one call may go to.
struct version_filter {
    /// The only version allowed; empty for all.
    version_id only;
    /// Excluded version when `only` is empty; empty excludes none.
    version_id except;

    [[nodiscard]] bool allows(const version_id& version) const {
        return only.empty() ? except.empty() || version != except : version == only;
    }

    friend bool operator==(const version_filter&, const version_filter&) = default;
};

/// How the calls of a service with an open move are divided.
struct version_share {
    /// Empty: every version but `new_version`.
    version_id old_version;
    version_id new_version;
    /// Share of calls that go to `new_version`, in thousandths.
    std::uint32_t permille = 0;
    move_id move;
    std::uint32_t attempt = 1;
};

/// Everything that the call path reads from the control side. Immutable; replaced as a whole and
/// shared between threads.
struct routing_view {
    snapshot_ptr config;
    std::map<service_id, std::vector<endpoint>> endpoints;
    std::map<service_id, version_share> shares;
    /// Null while no request is suspected.
    quarantine_view_ptr quarantine;
    /// Nodes that are alive, this one included.
    std::size_t live_nodes = 1;
    /// The live nodes; empty while no workspace is configured.
    std::vector<peer> peers;
    /// This node has the configuration and may take calls.
    bool is_ready = false;
    /// This node is leaving: new calls are refused.
    bool is_draining = false;
};

using routing_view_ptr = std::shared_ptr<const routing_view>;

} // namespace cyclamenhatch::call
