#pragma once

#include "edge/caller_session.h"

/// The heads of the answers that callers get.
namespace cyclamenhatch::edge {

/// Fills the answer's status, headers and framing from what the call path gave.
void fill_answer(const caller_session& session, caller_exchange& of, const answer_head& head,
                 const body_piece& first);

/// Whether the whole request was taken in.
[[nodiscard]] bool is_read_whole(const caller_exchange& of);

} // namespace cyclamenhatch::edge
