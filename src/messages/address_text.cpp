#include "messages/address_text.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <limits>
#include <netinet/in.h>
#include <utility>

namespace cyclamenhatch {
namespace {

bool is_ip(const std::string& text) {
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return text.find('\0') == std::string::npos &&
           (::inet_pton(AF_INET, text.c_str(), address.data()) == 1 ||
            ::inet_pton(AF_INET6, text.c_str(), address.data()) == 1);
}

} // namespace

std::optional<peer_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    auto ip = text.substr(0, colon);
    if (ip.size() > 1 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    const auto digits = text.substr(colon + 1);
    std::uint32_t port = 0;
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, port);
    const bool is_port = parsed.ec == std::errc{} && parsed.ptr == end && port > 0 &&
                         port <= std::numeric_limits<std::uint16_t>::max();
    std::string ip_text(ip);
    if (!is_port || !is_ip(ip_text)) {
        return std::nullopt;
    }
    return peer_address{std::move(ip_text), static_cast<std::uint16_t>(port)};
}

std::string format_address(const peer_address& address) {
    const bool is_ipv6 = address.ip.find(':') != std::string::npos;
    const auto host = is_ipv6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace cyclamenhatch
