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

body_bytes trim_piece(body_bytes bytes, std::size_t size) {
    if (bytes.capacity() > 2 * size) {
        return {bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size)};
    }
    bytes.resize(size);
    return bytes;
}

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

void drop_named_by_connection(header_fields& headers) {
    std::vector<std::string> named;
    for (const auto& each : headers) {
        if (!equals_without_case(each.name, "connection")) {
            continue;
        }
        std::string_view rest = each.value;
        while (!rest.empty()) {
            const auto end = std::min(rest.find(','), rest.size());
            const auto first = rest.find_first_not_of(" \t");
            const auto last = rest.find_last_not_of(" \t", end == 0 ? 0 : end - 1);
            if (first < end && last != std::string_view::npos) {
                named.emplace_back(rest.substr(first, last - first + 1));
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    if (named.empty()) {
        return;
    }
    std::erase_if(headers, [&](const header_field& each) {
        return !equals_without_case(each.name, "connection") &&
               std::any_of(named.begin(), named.end(), [&](const std::string& name) {
                   return equals_without_case(each.name, name);
               });
    });
}

} // namespace cyclamenhatch::edge
