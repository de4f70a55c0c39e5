#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenhatch {

/// How many bytes pass in a second.
struct byte_rate {
    std::uint64_t bytes_per_s = 0;

    friend bool operator==(const byte_rate&, const byte_rate&) = default;
};

/// Reads "10 Mbit/s" or "12.5 Mbit/s"; nothing when the text is no such rate above zero.
[[nodiscard]] std::optional<byte_rate> parse_byte_rate(std::string_view text);

} // namespace cyclamenhatch
