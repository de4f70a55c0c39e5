#pragma once

#include "distribution/step.h"

#include <cstddef>

/// Counts the messages and bytes sent to distribute configurations. Every delta, snapshot and pull
/// must be sent through send_counted.
namespace cyclamenhatch::distribution {

/// Sends a message and counts it by its kind; other kinds are not counted.
void send_counted(state& self, outgoing message, const step_context& context);

/// Bytes of the sections, patches, names and digests in a message, without framing.
[[nodiscard]] std::size_t payload_bytes(const msg::config_delta_msg& message);
[[nodiscard]] std::size_t payload_bytes(const msg::config_snapshot_msg& message);
[[nodiscard]] std::size_t payload_bytes(const msg::config_pull_msg& message);

} // namespace cyclamenhatch::distribution
