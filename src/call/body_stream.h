#pragma once

#include <cstdint>
#include <deque>
#include <vector>

/// Transfers one body between two nodes in pieces. A lost link may lose any piece, so the sender
/// keeps each one until the receiver has passed it on, and resends it when asked.
namespace cyclamenhatch::call {

/// Memory of one body that may be sent and not yet passed on by the receiver: its bytes and
/// piece_overhead_bytes for each piece.
inline constexpr std::uint64_t body_window_bytes = 262'144;

/// Memory that a piece takes besides its bytes: the piece, its message in the link's queue and the
/// frame. Without it the sender of a body in tiny chunks decides how much is kept.
inline constexpr std::uint64_t piece_overhead_bytes = 1024;

struct sent_piece {
    std::uint64_t offset = 0;
    std::vector<std::uint8_t> bytes;
    bool is_last = false;
};

/// The sender's state. Not thread safe; the caller serialises access.
struct outgoing_body {
    /// Pieces that are sent and not yet acknowledged as passed on.
    std::deque<sent_piece> kept;
    /// Offset at which the next piece begins.
    std::uint64_t offset = 0;
    /// Bytes that the receiver has passed on.
    std::uint64_t taken = 0;
    /// Bytes that the receiver has received, whether or not it has passed them on.
    std::uint64_t arrived = 0;
    /// The last piece was sent.
    bool is_ended = false;
};

/// Adds the next piece and returns it for sending. Precondition: the body has not ended.
const sent_piece& add_piece(outgoing_body& body, std::vector<std::uint8_t> bytes, bool is_last);

/// Records how many bytes the receiver has passed on and whether that is the whole body. Late and
/// repeated acknowledgements change nothing.
void note_taken(outgoing_body& body, std::uint64_t taken, bool is_whole);

/// Records how many bytes have arrived. Late and repeated acknowledgements change nothing.
void note_arrived(outgoing_body& body, std::uint64_t received);

/// Bytes that are sent and not yet acknowledged as received.
[[nodiscard]] std::uint64_t bytes_in_flight(const outgoing_body& body);

/// Whether another piece may be sent now.
[[nodiscard]] bool has_room(const outgoing_body& body);

/// Whether the receiver has passed on the whole body, its end included.
[[nodiscard]] bool is_taken_whole(const outgoing_body& body);

/// The pieces to resend to a receiver that has `received` bytes and not the end of the body.
[[nodiscard]] std::vector<sent_piece> missing_pieces(const outgoing_body& body,
                                                     std::uint64_t received);

/// Bytes held for resending.
[[nodiscard]] std::uint64_t kept_bytes(const outgoing_body& body);

/// The same with piece_overhead_bytes for each piece.
[[nodiscard]] std::uint64_t kept_memory(const outgoing_body& body);

/// The receiver's state. Not thread safe; the caller serialises access.
struct incoming_body {
    /// Bytes received so far.
    std::uint64_t offset = 0;
    bool is_whole = false;
};

enum class piece_fit {
    /// The piece continues what was received.
    next,
    /// The piece was received before.
    repeated,
    /// An earlier piece is missing.
    gap,
    /// Some of the piece's bytes were received before. Pieces are resent as they were sent, so the
    /// two sides count other bytes.
    overlap,
};

/// Advances the body when the piece is the next one.
[[nodiscard]] piece_fit receive_piece(incoming_body& body, std::uint64_t offset, std::size_t size,
                                      bool is_last);

} // namespace cyclamenhatch::call
