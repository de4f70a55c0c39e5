#include "messages/address_text.h"

#include <charconv>
#include <limits>

namespace cyclamenhatch {

std::optional<peer_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    auto ip = text.substr(0, colon);
    if (ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    const auto digits = text.substr(colon + 1);
    std::uint32_t port = 0;
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, port);
    const bool is_port = parsed.ec == std::errc{} && parsed.ptr == end && port > 0 &&
                         port <= std::numeric_limits<std::uint16_t>::max();
    if (!is_port || ip.empty()) {
        return std::nullopt;
    }
    return peer_address{std::string(ip), static_cast<std::uint16_t>(port)};
}

std::string format_address(const peer_address& address) {
    const bool is_ipv6 = address.ip.find(':') != std::string::npos;
    const auto host = is_ipv6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace cyclamenhatch
