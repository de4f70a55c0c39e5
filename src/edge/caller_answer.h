#pragma once

#include "edge/caller_session.h"

#include <string_view>

/// The heads of the answers that callers get.
namespace cyclamenhatch::edge {

/// Fills the answer's status, headers and framing from what the call path gave.
void fill_answer(const caller_session& session, caller_exchange& of, const answer_head& head,
                 const body_piece& first);

/// The whole answer to a request that cannot be taken in. `is_not_run`: it was not sent on.
[[nodiscard]] waiting_piece make_fault_answer(unsigned status, std::string_view title,
                                              bool is_not_run);

/// Whether the whole request was taken in.
[[nodiscard]] bool is_read_whole(const caller_exchange& of);

} // namespace cyclamenhatch::edge
