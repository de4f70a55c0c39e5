#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenhatch {

/// A data rate.
struct byte_rate {
    std::uint64_t bytes_per_s = 0;

    friend bool operator==(const byte_rate&, const byte_rate&) = default;
};

/// Parses a rate above 0 such as "10 Mbit/s" or "12.5 Mbit/s"; empty when the text is not one.
[[nodiscard]] std::optional<byte_rate> parse_byte_rate(std::string_view text);

} // namespace cyclamenhatch
