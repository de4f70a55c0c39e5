#pragma once

#include "messages/peer_message.h"
#include "model/finding.h"
#include "model/snapshot.h"

#include <variant>

/// Configurations as messages: deltas and snapshots, made from and turned into snapshots. What is
/// received is built aside and checked whole.
namespace cyclamenhatch::distribution {

/// How a delta holds the sections that changed.
enum class section_form {
    /// Large sections by the routes that differ, the others whole.
    patched,
    whole
};

/// The change from one configuration to a later one.
[[nodiscard]] msg::config_delta_msg make_delta(const snapshot& from, const snapshot& to,
                                               section_form form = section_form::patched);

/// The whole configuration but for the sections that `have` names with the same digest.
[[nodiscard]] msg::config_snapshot_msg make_snapshot_message(const snapshot& from,
                                                             const msg::config_pull_msg& asked);

/// A request for what is newer than `held`, which may be null, in the given form at most.
[[nodiscard]] msg::config_pull_msg make_pull(const snapshot_ptr& held,
                                             section_form form = section_form::patched);

/// A notice of what is held; the digest is empty when nothing is.
[[nodiscard]] msg::config_notice_msg make_notice(const snapshot_ptr& held);

/// Whether the asker holds exactly the sections of `base`.
[[nodiscard]] bool has_sections_of(const msg::config_pull_msg& asked, const snapshot& base);

/// The message does not fit what is held here, which proves nothing against the version.
struct transfer_mismatch {};

using transfer_result = std::variant<snapshot_ptr, transfer_mismatch, findings>;

/// Applies a delta to a configuration at or above its base and below its version.
[[nodiscard]] transfer_result apply_delta(const snapshot& base, const msg::config_delta_msg& delta);

/// Builds the configuration of a snapshot message; `held` may be null.
[[nodiscard]] transfer_result open_snapshot(const snapshot_ptr& held,
                                            const msg::config_snapshot_msg& message);

} // namespace cyclamenhatch::distribution
