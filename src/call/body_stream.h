#pragma once

#include <cstdint>
#include <deque>
#include <vector>

/// One body on its way between two nodes in pieces. A link may be lost with any of them, so the
/// sender keeps each piece until the other side has taken it, and sends it again when asked.
namespace cyclamenhatch::call {

/// Bytes of one body that may be sent before the other side has passed on those before them.
inline constexpr std::uint64_t body_window_bytes = 262'144;

struct sent_piece {
    std::uint64_t offset = 0;
    std::vector<std::uint8_t> bytes;
    bool is_last = false;
};

/// The sender's side. Not thread safe; the holder guards it.
struct outgoing_body {
    /// Sent, but not known to be taken.
    std::deque<sent_piece> kept;
    /// Where the next piece begins.
    std::uint64_t offset = 0;
    std::uint64_t taken = 0;
    /// Arrived on the other side, which may not have passed it on.
    std::uint64_t arrived = 0;
    /// The last piece was sent.
    bool is_ended = false;
};

/// Adds the next piece, which is sent now. Precondition: the body has not ended.
const sent_piece& add_piece(outgoing_body& body, std::vector<std::uint8_t> bytes, bool is_last);

/// Notes how much of the body the other side has taken, and whether that is all of it. Late and
/// repeated notes change nothing.
void note_taken(outgoing_body& body, std::uint64_t taken, bool is_whole);

/// Notes how much of the body has arrived. Late and repeated notes change nothing.
void note_arrived(outgoing_body& body, std::uint64_t received);

/// Bytes that were sent and are not known to have arrived.
[[nodiscard]] std::uint64_t bytes_under_way(const outgoing_body& body);

/// Whether another piece may be sent now.
[[nodiscard]] bool has_room(const outgoing_body& body);

/// The other side has the whole body, its end included.
[[nodiscard]] bool is_taken_whole(const outgoing_body& body);

/// The pieces that the other side lacks when it has received so many bytes and not the end.
[[nodiscard]] std::vector<sent_piece> missing_pieces(const outgoing_body& body,
                                                     std::uint64_t received);

[[nodiscard]] std::uint64_t kept_bytes(const outgoing_body& body);

/// The receiver's side. Not thread safe; the holder guards it.
struct incoming_body {
    std::uint64_t offset = 0;
    bool is_whole = false;
};

enum class piece_fit {
    /// It continues what was received.
    next,
    /// It was received before.
    repeated,
    /// A piece before it is missing.
    gap,
};

/// Takes a piece in when it is the next one.
[[nodiscard]] piece_fit receive_piece(incoming_body& body, std::uint64_t offset, std::size_t size,
                                      bool is_last);

} // namespace cyclamenhatch::call
