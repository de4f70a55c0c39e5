#pragma once

#include "distribution/step.h"

#include <cstddef>

/// Replacing the held configuration by a newer one, and refusing those that must not be held.
namespace cyclamenhatch::distribution {

/// Where a configuration came from.
struct origin {
    /// The member that sent it; empty for the store.
    node_id from;
    /// Payload of the message that it came in; 0 for the store.
    std::size_t bytes = 0;
    /// The delta that led to it, if one did; borrowed for the call.
    const msg::config_delta_msg* delta = nullptr;
};

/// Holds `found` when it is newer than what is held and pushes it on; else does nothing. Returns
/// whether it is held now.
bool adopt(state& self, const snapshot_ptr& found, const origin& source, const step& now);

/// Logs and reports a version that failed its checks, once, and keeps it from being asked for.
void refuse(state& self, config_version version, const digest_id& digest, const findings& found,
            const node_id& from, const membership::table& members, instant now, actions& wanted);

/// Whether the version was refused lately. An empty digest matches every digest.
[[nodiscard]] bool is_refused(const state& self, config_version version, const digest_id& digest);

/// Lets refusals lapse, so that a version is tried again.
void forget_refusals(state& self, instant now);

/// Logs, once, that another configuration of the version held exists.
void log_conflict(state& self, const digest_id& other, const node_id& from, actions& wanted);

/// Whether the version lies above what is held, or nothing is held.
[[nodiscard]] bool is_newer(const state& self, config_version version);

} // namespace cyclamenhatch::distribution
