#pragma once

#include "messages/peer_message.h"
#include "model/finding.h"

#include <string>
#include <string_view>

namespace cyclamenhatch {

/// Encodes a message with its sender as one envelope, without the frame's length.
[[nodiscard]] std::string encode_envelope(const node_id& from, const peer_message& message);

/// Verifies and decodes one envelope. Findings when the bytes are not one or carry a kind of
/// message that this build does not know. Never reads outside the bytes.
[[nodiscard]] result<incoming> decode_envelope(std::string_view bytes);

} // namespace cyclamenhatch
