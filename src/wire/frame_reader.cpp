#include "wire/frame_reader.h"

namespace cyclamenhatch::wire {
namespace {

constexpr unsigned bits_per_byte = 8;

std::uint32_t read_length(std::string_view header) {
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i) {
        const auto byte = static_cast<unsigned char>(header[i]);
        length |= static_cast<std::uint32_t>(byte) << (bits_per_byte * i);
    }
    return length;
}

} // namespace

std::string make_frame(std::string_view envelope) {
    std::string frame;
    frame.reserve(frame_header_bytes + envelope.size());
    const auto length = static_cast<std::uint32_t>(envelope.size());
    for (std::size_t i = 0; i < frame_header_bytes; ++i) {
        frame += static_cast<char>((length >> (bits_per_byte * i)) & 0xFFU);
    }
    frame += envelope;
    return frame;
}

void append(frame_reader& reader, std::string_view bytes) {
    if (reader.consumed > 0) {
        reader.buffer.erase(0, reader.consumed);
        reader.consumed = 0;
    }
    reader.buffer += bytes;
}

std::optional<std::string_view> next_frame(frame_reader& reader) {
    const auto rest = std::string_view(reader.buffer).substr(reader.consumed);
    if (reader.is_broken || rest.size() < frame_header_bytes) {
        return std::nullopt;
    }
    const std::size_t length = read_length(rest);
    if (length == 0 || length > reader.max_frame_bytes) {
        reader.is_broken = true;
        return std::nullopt;
    }
    if (rest.size() < frame_header_bytes + length) {
        return std::nullopt;
    }
    reader.consumed += frame_header_bytes + length;
    return rest.substr(frame_header_bytes, length);
}

} // namespace cyclamenhatch::wire
