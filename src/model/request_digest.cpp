#include "model/request_digest.h"

#include "model/digest.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cyclamenhatch {
namespace {

constexpr std::size_t half_digits = 16;

/// Each part with its length, so that no two lists of parts give the same text.
void append_part(std::string& text, std::string_view part) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

std::uint64_t read_half(std::string_view digits) {
    std::uint64_t half = 0;
    (void)std::from_chars(digits.data(), digits.data() + digits.size(), half, 16);
    return half;
}

} // namespace

request_digest compute_request_digest(const request_content& content) {
    std::string text;
    for (const auto part : {content.method, content.host, content.target, content.owner,
                            content.body, content.stated_length}) {
        append_part(text, part);
    }
    const auto digits = compute_digest(text).value;
    const std::string_view halves(digits);
    return {read_half(halves.substr(0, half_digits)),
            read_half(halves.substr(half_digits, half_digits))};
}

std::string to_text(const request_digest& digest) {
    std::string text(2 * half_digits, '0');
    char* position = text.data();
    for (const auto half : {digest.high, digest.low}) {
        for (std::size_t i = 0; i < half_digits; ++i) {
            const auto nibble = (half >> (60U - 4U * i)) & 0xFU;
            *position++ = "0123456789abcdef"[nibble];
        }
    }
    return text;
}

std::optional<request_digest> parse_request_digest(std::string_view text) {
    const bool is_hexadecimal = std::all_of(
        text.begin(), text.end(), [](unsigned char digit) { return std::isxdigit(digit) != 0; });
    if (text.size() != 2 * half_digits || !is_hexadecimal) {
        return std::nullopt;
    }
    return request_digest{read_half(text.substr(0, half_digits)),
                          read_half(text.substr(half_digits))};
}

} // namespace cyclamenhatch
