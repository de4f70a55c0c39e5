#pragma once

#include "distribution/distribution.h"
#include "document/document.h"
#include "model/finding.h"
#include "model/request_digest.h"
#include "model/snapshot.h"
#include "move/move_table.h"
#include "settings_generated.h"
#include "store/config_writer.h"

#include <functional>
#include <string>
#include <vector>

namespace cyclamenhatch::admin {

/// An announcement of the upstream beside this node, as received over HTTP.
struct announcement {
    msg::upstream_record_msg upstream;
    /// Port that the upstream listens on; 0 when it is gone.
    std::uint16_t port = 0;
    /// Address of the upstream; empty for the node's own host.
    std::string ip;
};

/// The operators' API's only access to the node. Each function may be called from any thread and
/// none blocks for long.
struct backend {
    std::function<snapshot_ptr()> configuration;
    /// Calls back exactly once, from any thread.
    std::function<void(store::write_request, std::function<void(store::write_reply)>)> write;
    std::function<std::vector<distribution::version_progress>()> progress;
    std::function<std::vector<moves::move_status>()> move_statuses;
    /// Summary of the whole fleet, as this node knows it.
    std::function<document()> status;
    /// All state of this process, without secrets.
    std::function<document()> dump;
    /// Slot use per owner.
    std::function<document()> usage;
    /// Requests that are suspected or held because upstreams crashed under them.
    std::function<document()> quarantine;
    /// Clears the known crashes of a request everywhere; returns whether there were any.
    std::function<bool(const request_digest&)> lift_hold;
    /// Prometheus text.
    std::function<std::string()> metrics;
    /// Takes the announcement of an upstream or of its new state; returns findings when refused.
    std::function<findings(const announcement&)> announce;
    /// Calls back, from any thread, once it is decided whether what was announced may be confirmed:
    /// false when a leave could not be stored in time. Confirmed at once when not set.
    std::function<void(std::function<void(bool is_confirmed)>)> when_confirmable;
    /// Whether this node's configuration has been compared with other nodes' since start or pause;
    /// until then the API neither shows nor changes resources. Always ready when not set.
    std::function<bool()> is_ready;
    /// The node's time; the system clock when not set.
    std::function<instant()> now;
};

} // namespace cyclamenhatch::admin
