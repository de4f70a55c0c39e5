#pragma once

#include "distribution/distribution.h"
#include "document/document.h"
#include "model/finding.h"
#include "model/snapshot.h"
#include "move/move_table.h"
#include "settings_generated.h"
#include "store/config_writer.h"

#include <functional>
#include <string>
#include <vector>

namespace cyclamenhatch::admin {

/// What the upstream beside this node announced, as its HTTP request said it.
struct announcement {
    msg::upstream_record_msg upstream;
    /// Where the node reaches the upstream.
    std::uint16_t port = 0;
    /// The node's own host when it is empty.
    std::string ip;
};

/// The operators' API sees the node only through these functions. Each may be called from any
/// thread and none blocks for long.
struct backend {
    std::function<snapshot_ptr()> configuration;
    /// Answers by calling back once, from any thread.
    std::function<void(store::write_request, std::function<void(store::write_reply)>)> write;
    std::function<std::vector<distribution::version_progress>()> progress;
    std::function<std::vector<moves::move_status>()> move_statuses;
    /// The whole fleet at a glance, as this node knows it.
    std::function<document()> status;
    /// All state of this process; secrets left out.
    std::function<document()> dump;
    /// Slot use per owner.
    std::function<document()> usage;
    /// Prometheus text.
    std::function<std::string()> metrics;
    /// The upstream beside this node announces itself or its change of state.
    std::function<findings(const announcement&)> announce;
    /// Whether the configuration held has been compared with others since start or pause; while it
    /// has not, the API neither shows nor changes resources. Always ready when not set.
    std::function<bool()> is_ready;
    /// The node's time; the system clock when not set.
    std::function<instant()> now;
};

} // namespace cyclamenhatch::admin
