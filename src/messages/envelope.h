#pragma once

#include "messages/peer_message.h"
#include "model/finding.h"

#include <string>
#include <string_view>

namespace cyclamenhatch {

/// Encodes a message and its sender as one envelope, without the length prefix of the frame. `sent`
/// is the time_since_boot of the sender's host, or 0 for unknown.
[[nodiscard]] std::string encode_envelope(const node_id& sender, const peer_message& message,
                                          microseconds sent = microseconds{0});

/// Verifies and decodes one envelope. Returns findings when the bytes are not a valid envelope or
/// contain an unknown kind of message. Never reads outside the bytes.
[[nodiscard]] result<incoming> decode_envelope(std::string_view bytes);

} // namespace cyclamenhatch
