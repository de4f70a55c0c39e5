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

/// Divides the size of a piece: how much more than its bytes it may occupy.
constexpr std::size_t max_slack_divisor = 4;

char to_lower(char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

void trim_piece(body_bytes& bytes, std::size_t size) {
    if (bytes.capacity() > size + size / max_slack_divisor) {
        bytes = body_bytes(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size));
        return;
    }
    bytes.resize(size);
}

bool equals_without_case(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return to_lower(a) == to_lower(b); });
}

std::string_view find_header(const header_fields& headers, std::string_view name) {
    const auto it = std::find_if(headers.begin(), headers.end(), [&](const header_field& header) {
        return equals_without_case(header.name, name);
    });
    return it == headers.end() ? std::string_view{} : std::string_view(it->value);
}

bool is_connection_header(std::string_view name) {
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [&](std::string_view header) { return equals_without_case(header, name); });
}

void drop_named_by_connection(header_fields& headers) {
    std::vector<std::string> names;
    for (const auto& header : headers) {
        if (!equals_without_case(header.name, "connection")) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto end = std::min(rest.find(','), rest.size());
            const auto first = rest.find_first_not_of(" \t");
            const auto last = rest.find_last_not_of(" \t", end == 0 ? 0 : end - 1);
            if (first < end && last != std::string_view::npos) {
                names.emplace_back(rest.substr(first, last - first + 1));
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    if (names.empty()) {
        return;
    }
    std::erase_if(headers, [&](const header_field& header) {
        return !equals_without_case(header.name, "connection") &&
               std::any_of(names.begin(), names.end(), [&](const std::string& name) {
                   return equals_without_case(header.name, name);
               });
    });
}

} // namespace cyclamenhatch::edge
