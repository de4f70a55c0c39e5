#pragma once

#include "messages/peer_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhatch {

/// Parses "ip:port" or "[ipv6]:port". Returns nullopt when the port is missing or out of range, or
/// the ip is not an IPv4 or IPv6 address.
[[nodiscard]] std::optional<peer_address> parse_address(std::string_view text);

[[nodiscard]] std::string format_address(const peer_address& address);

} // namespace cyclamenhatch
