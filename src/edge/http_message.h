#pragma once

#include "model/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// HTTP messages without framing, as the listener and the upstream client exchange them with the
/// call path.
namespace cyclamenhatch::edge {

/// Maximum size of a piece of a body: takes 13 ms on a link of 10 Mbit/s.
inline constexpr std::size_t piece_bytes = 16'384;

struct header_field {
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;
using body_bytes = std::vector<std::uint8_t>;

/// Keeps the first `size` bytes, without much excess capacity, since pieces may be kept for long.
/// Precondition: there are as many. Takes the bytes by reference, so that no caller moves from a
/// buffer whose size it reads in the same call.
void trim_piece(body_bytes& bytes, std::size_t size);

/// A part of a body; `is_last` marks its end.
struct body_piece {
    body_bytes bytes;
    bool is_last = false;
};

struct request_head {
    std::string method;
    /// Path and query as the caller wrote them.
    std::string target;
    header_fields headers;
    bool is_first_on_connection = false;
    /// When the head was read; the caller's deadline counts from then, also while the request waits
    /// behind another on its connection.
    instant read_at{};
};

struct answer_head {
    unsigned status = 0;
    header_fields headers;
};

/// The first value of a header, empty when there is none. Names compare without case.
[[nodiscard]] std::string_view find_header(const header_fields& headers, std::string_view name);

/// Whether a header applies to one connection only, or is set anew at each hop: such headers are
/// not forwarded.
[[nodiscard]] bool is_connection_header(std::string_view name);

/// Drops the headers that a Connection header names: they apply to one connection only.
void drop_named_by_connection(header_fields& headers);

[[nodiscard]] bool equals_without_case(std::string_view left, std::string_view right);

} // namespace cyclamenhatch::edge
