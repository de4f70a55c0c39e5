#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamenhatch::membership {

/// A 64-bit hash that is the same in every process and build, for ranks that nodes must agree on.
[[nodiscard]] constexpr std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0) {
    constexpr std::uint64_t fnv_offset = 0xCBF29CE484222325ULL;
    constexpr std::uint64_t fnv_prime = 0x100000001B3ULL;
    std::uint64_t mixed = fnv_offset ^ seed;
    for (const char each : text) {
        mixed = (mixed ^ static_cast<unsigned char>(each)) * fnv_prime;
    }
    // The finaliser of SplitMix64 spreads the last bytes over all bits.
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace cyclamenhatch::membership
