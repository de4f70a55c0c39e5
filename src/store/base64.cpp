#include "store/base64.h"

#include <openssl/evp.h>

namespace cyclamenhatch::store {
namespace {

const unsigned char* as_bytes(std::string_view text) {
    return static_cast<const unsigned char*>(static_cast<const void*>(text.data()));
}

unsigned char* as_bytes(std::string& text) {
    return static_cast<unsigned char*>(static_cast<void*>(text.data()));
}

/// Number of padding characters at the end.
std::size_t count_padding(std::string_view text) {
    std::size_t count = 0;
    while (count < 2 && count < text.size() && text[text.size() - 1 - count] == '=') {
        ++count;
    }
    return count;
}

} // namespace

std::string encode_base64(std::string_view bytes) {
    // One byte more, for the terminating zero that the library writes.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(as_bytes(text), as_bytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    if (text.empty()) {
        return std::string{};
    }
    const auto padding = count_padding(text);
    // The library skips whitespace, which would make the computed length wrong.
    const auto data = text.substr(0, text.size() - padding);
    if (data.find_first_of("= \t\r\n-") != std::string_view::npos) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length =
        EVP_DecodeBlock(as_bytes(bytes), as_bytes(text), static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace cyclamenhatch::store
