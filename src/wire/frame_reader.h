#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhatch::wire {

/// Size in bytes of the little-endian length prefix of each frame.
constexpr std::size_t frame_header_bytes = 4;

/// Returns the encoded envelope with its length prefix.
[[nodiscard]] std::string make_frame(std::string_view envelope);

/// Splits a byte stream into frames. Plain data; not thread safe.
struct frame_reader {
    std::size_t max_frame_bytes = 0;
    std::string buffer;
    /// Bytes at the start of `buffer` that next_frame has returned already.
    std::size_t consumed = 0;
    /// Set when a length is zero or above max_frame_bytes; the stream cannot be read any further.
    bool is_broken = false;
};

/// Appends received bytes.
void append(frame_reader& reader, std::string_view bytes);

/// Returns the next complete frame without its length prefix, or nullopt when none is complete or
/// the stream is broken. The view is valid until the next append.
[[nodiscard]] std::optional<std::string_view> next_frame(frame_reader& reader);

} // namespace cyclamenhatch::wire
