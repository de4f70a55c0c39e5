#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhatch::wire {

/// Bytes of the length that precedes each frame, little endian.
constexpr std::size_t frame_header_bytes = 4;

/// The frame for an encoded envelope.
[[nodiscard]] std::string make_frame(std::string_view envelope);

/// Cuts a stream of bytes into frames. Plain data; not thread safe.
struct frame_reader {
    std::size_t max_frame_bytes = 0;
    std::string buffer;
    std::size_t consumed = 0;
    /// Set when a length is zero or past the limit: the stream cannot be read any further.
    bool is_broken = false;
};

/// Adds bytes that arrived.
void append(frame_reader& reader, std::string_view bytes);

/// The next whole frame, without its length, or nothing yet. The view lives until the next append.
[[nodiscard]] std::optional<std::string_view> next_frame(frame_reader& reader);

} // namespace cyclamenhatch::wire
