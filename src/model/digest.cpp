#include "model/digest.h"

#include <array>
#include <openssl/sha.h>

namespace cyclamenhatch {

digest_id compute_digest(std::string_view bytes) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), hash.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(hash.size() * 2);
    for (const unsigned char byte : hash) {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0FU];
    }
    return digest_id{std::move(text)};
}

} // namespace cyclamenhatch
