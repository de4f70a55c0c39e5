#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhatch::store {

[[nodiscard]] std::string encode_base64(std::string_view bytes);

/// Returns nothing when the text is not padded base64.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

} // namespace cyclamenhatch::store
