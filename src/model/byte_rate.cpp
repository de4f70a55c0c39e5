#include "model/byte_rate.h"

#include <charconv>
#include <cmath>

namespace cyclamenhatch {

std::optional<byte_rate> parse_byte_rate(std::string_view text) {
    constexpr double bytes_per_mbit = 125'000;
    constexpr double most_mbit = 1e9;
    double mbit = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), mbit);
    const std::string_view unit(read.ptr, text.data() + text.size());
    if (read.ec != std::errc{} || unit != " Mbit/s" || !(mbit > 0) || mbit > most_mbit) {
        return std::nullopt;
    }
    return byte_rate{static_cast<std::uint64_t>(std::llround(mbit * bytes_per_mbit))};
}

} // namespace cyclamenhatch
