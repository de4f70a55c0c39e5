#include "model/byte_rate.h"

#include <charconv>
#include <cmath>

namespace cyclamenhatch {

std::optional<byte_rate> parse_byte_rate(std::string_view text) {
    constexpr double bytes_per_mbit = 125'000;
    constexpr double max_mbit = 1e9;
    double mbit = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), mbit);
    const std::string_view unit(parsed.ptr, text.data() + text.size());
    if (parsed.ec != std::errc{} || unit != " Mbit/s" || !(mbit > 0) || mbit > max_mbit) {
        return std::nullopt;
    }
    return byte_rate{static_cast<std::uint64_t>(std::llround(mbit * bytes_per_mbit))};
}

} // namespace cyclamenhatch
