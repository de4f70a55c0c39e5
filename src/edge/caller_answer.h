#pragma once

#include "edge/caller_session.h"

#include <string_view>

/// Builds the heads of answers to callers.
namespace cyclamenhatch::edge {

/// Sets the answer's status, headers and framing from the head that the call path returned.
void fill_answer(const caller_session& session, caller_exchange& exchange, const answer_head& head,
                 const body_piece& first);

/// The whole answer to a request that cannot be read. `is_not_run`: it was not forwarded.
[[nodiscard]] waiting_piece make_fault_answer(unsigned status, std::string_view title,
                                              bool is_not_run);

/// Whether the whole request was read.
[[nodiscard]] bool is_read_whole(const caller_exchange& exchange);

} // namespace cyclamenhatch::edge
