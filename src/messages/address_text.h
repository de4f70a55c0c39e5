#pragma once

#include "messages/peer_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhatch {

/// Reads "ip:port" or "[ipv6]:port". Nothing when the port is missing or out of range; the ip's
/// form is not checked here.
[[nodiscard]] std::optional<peer_address> parse_address(std::string_view text);

[[nodiscard]] std::string format_address(const peer_address& address);

} // namespace cyclamenhatch
