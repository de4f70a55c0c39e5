#include "call/body_stream.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace cyclamenhatch::call {
namespace {

std::uint64_t end_of(const sent_piece& piece) {
    return piece.offset + piece.bytes.size();
}

std::uint64_t overhead_of(const outgoing_body& body) {
    return body.kept.size() * piece_overhead_bytes;
}

} // namespace

const sent_piece& add_piece(outgoing_body& body, std::vector<std::uint8_t> bytes, bool is_last) {
    body.kept.push_back({body.offset, std::move(bytes), is_last});
    body.offset = end_of(body.kept.back());
    body.is_ended = is_last;
    return body.kept.back();
}

void note_taken(outgoing_body& body, std::uint64_t taken, bool is_whole) {
    body.taken = std::clamp(taken, body.taken, body.offset);
    while (!body.kept.empty() && end_of(body.kept.front()) <= body.taken &&
           (is_whole || !body.kept.front().is_last)) {
        body.kept.pop_front();
    }
}

void note_arrived(outgoing_body& body, std::uint64_t received) {
    body.arrived = std::clamp(received, body.arrived, body.offset);
}

std::uint64_t bytes_in_flight(const outgoing_body& body) {
    return body.offset - body.arrived;
}

bool has_room(const outgoing_body& body) {
    return !body.is_ended && body.offset - body.taken + overhead_of(body) < body_window_bytes;
}

bool is_taken_whole(const outgoing_body& body) {
    return body.is_ended && body.kept.empty();
}

std::vector<sent_piece> missing_pieces(const outgoing_body& body, std::uint64_t received) {
    std::vector<sent_piece> missing;
    std::copy_if(
        body.kept.begin(), body.kept.end(), std::back_inserter(missing),
        [received](const sent_piece& piece) { return piece.is_last || end_of(piece) > received; });
    return missing;
}

std::uint64_t kept_bytes(const outgoing_body& body) {
    return std::accumulate(
        body.kept.begin(), body.kept.end(), std::uint64_t{0},
        [](std::uint64_t sum, const sent_piece& piece) { return sum + piece.bytes.size(); });
}

std::uint64_t kept_memory(const outgoing_body& body) {
    return kept_bytes(body) + overhead_of(body);
}

piece_fit receive_piece(incoming_body& body, std::uint64_t offset, std::size_t size, bool is_last) {
    if (body.is_whole || offset < body.offset) {
        const bool is_new = !body.is_whole && offset + size > body.offset;
        return is_new ? piece_fit::overlap : piece_fit::repeated;
    }
    if (offset > body.offset) {
        return piece_fit::gap;
    }
    body.offset += size;
    body.is_whole = is_last;
    return piece_fit::next;
}

} // namespace cyclamenhatch::call
