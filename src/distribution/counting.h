#pragma once

#include "distribution/step.h"

#include <cstddef>

/// Counts what the spreading of configurations puts on links. Every delta, snapshot and pull is
/// sent through here.
namespace cyclamenhatch::distribution {

/// Sends a message and counts it by its kind; other kinds are sent uncounted.
void send_counted(state& self, outgoing message, const step& now);

/// Bytes of the sections, patches, names and digests in a message; the framing is left out.
[[nodiscard]] std::size_t payload_bytes(const msg::config_delta_msg& message);
[[nodiscard]] std::size_t payload_bytes(const msg::config_snapshot_msg& message);
[[nodiscard]] std::size_t payload_bytes(const msg::config_pull_msg& message);

} // namespace cyclamenhatch::distribution
