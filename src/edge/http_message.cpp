#include "edge/http_message.h"

#include <algorithm>
#include <array>

namespace cyclamenhatch::edge {
namespace {

constexpr std::array<std::string_view, 11> connection_headers{"connection",
                                                              "keep-alive",
                                                              "proxy-connection",
                                                              "proxy-authenticate",
                                                              "proxy-authorization",
                                                              "te",
                                                              "trailer",
                                                              "transfer-encoding",
                                                              "upgrade",
                                                              "content-length",
                                                              "expect"};

char to_lower(char from) {
    return from >= 'A' && from <= 'Z' ? static_cast<char>(from - 'A' + 'a') : from;
}

} // namespace

bool equals_without_case(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return to_lower(a) == to_lower(b); });
}

std::string_view find_header(const header_fields& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const header_field& each) {
        return equals_without_case(each.name, name);
    });
    return found == headers.end() ? std::string_view{} : std::string_view(found->value);
}

bool is_connection_header(std::string_view name) {
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [&](std::string_view each) { return equals_without_case(each, name); });
}

} // namespace cyclamenhatch::edge
