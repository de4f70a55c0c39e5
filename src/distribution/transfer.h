#pragma once

#include "messages/peer_message.h"
#include "model/finding.h"
#include "model/snapshot.h"

#include <variant>

/// Converts configurations to and from delta and snapshot messages. A received configuration is
/// built separately and checked as a whole before it is returned.
namespace cyclamenhatch::distribution {

/// How a delta encodes changed sections.
enum class section_form {
    /// Large sections as patches with the routes that differ, small ones whole.
    patched,
    whole
};

/// The change from one configuration to a later one.
[[nodiscard]] msg::config_delta_msg make_delta(const snapshot& base, const snapshot& target,
                                               section_form form = section_form::patched);

/// The whole configuration. Sections that the request lists in `have` with the same digest are only
/// named in `kept`.
[[nodiscard]] msg::config_snapshot_msg make_snapshot_message(const snapshot& config,
                                                             const msg::config_pull_msg& request);

/// A request for a configuration newer than `current`, which may be null.
[[nodiscard]] msg::config_pull_msg make_pull(const snapshot_ptr& current,
                                             section_form form = section_form::patched);

/// A notice of the current configuration; the digest is empty when `current` is null.
[[nodiscard]] msg::config_notice_msg make_notice(const snapshot_ptr& current);

/// Whether the requester holds exactly the version and sections of `base`.
[[nodiscard]] bool has_sections_of(const msg::config_pull_msg& request, const snapshot& base);

/// The message does not fit the held configuration; the version itself may still be good.
struct transfer_mismatch {};

using transfer_result = std::variant<snapshot_ptr, transfer_mismatch, findings>;

/// Applies a delta. The version of `base` must be at least the base version of the delta and lower
/// than its version.
[[nodiscard]] transfer_result apply_delta(const snapshot& base, const msg::config_delta_msg& delta);

/// Builds the configuration in a snapshot message. Kept sections come from `current`, which may be
/// null.
[[nodiscard]] transfer_result open_snapshot(const snapshot_ptr& current,
                                            const msg::config_snapshot_msg& message);

} // namespace cyclamenhatch::distribution
