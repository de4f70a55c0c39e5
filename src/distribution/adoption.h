#pragma once

#include "distribution/step.h"

#include <cstddef>

/// Replaces the held configuration with a newer one and refuses versions that fail their checks.
namespace cyclamenhatch::distribution {

/// The source of a configuration.
struct origin {
    /// The member that sent it; empty for the store.
    node_id sender;
    /// Payload bytes of the message that carried it; 0 for the store.
    std::size_t bytes = 0;
    /// The delta that produced it, or null. Must outlive the call.
    const msg::config_delta_msg* delta = nullptr;
};

/// Replaces the held configuration with `config` if that is newer, and pushes the change to other
/// members. Returns whether it was replaced.
bool adopt(state& self, const snapshot_ptr& config, const origin& source,
           const step_context& context);

/// Logs and reports, once, a version that failed its checks, and stops pulls of it for 30 s.
void refuse(state& self, config_version version, const digest_id& digest, const findings& problems,
            const node_id& sender, const membership::table& members, instant now, actions& out);

/// Whether the version is currently refused. An empty digest matches every digest.
[[nodiscard]] bool is_refused(const state& self, config_version version, const digest_id& digest);

/// Removes refusals older than 30 s, so that their versions are tried again.
void forget_refusals(state& self, instant now);

/// Logs, once per digest, that another configuration with the held version exists.
void log_conflict(state& self, const digest_id& other, const node_id& sender, actions& out);

/// Whether the version is higher than the held one, or nothing is held.
[[nodiscard]] bool is_newer(const state& self, config_version version);

} // namespace cyclamenhatch::distribution
