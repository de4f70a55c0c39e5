#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamenhatch::membership {

/// A 64-bit hash that is the same in every process and build, for rankings that nodes must agree
/// on.
[[nodiscard]] constexpr std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0) {
    constexpr std::uint64_t fnv_offset = 0xCBF29CE484222325ULL;
    constexpr std::uint64_t fnv_prime = 0x100000001B3ULL;
    std::uint64_t hash = fnv_offset ^ seed;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
    }
    // The finalizer of SplitMix64 spreads the last bytes over all bits.
    hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBULL;
    return hash ^ (hash >> 31U);
}

} // namespace cyclamenhatch::membership
