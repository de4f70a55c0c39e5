#pragma once

#include "model/time.h"
#include "move/move_table.h"

/// What is shared by the steps of one node's moves: the share in force here and logs.
namespace cyclamenhatch::moves {

/// Sets the share in force at this entry from permits, vetoes, this entry's own evidence and the
/// ready endpoints.
void refresh_share(const state& self, const attempt_key& key, open_move& open, instant now);

/// The record of an attempt; an empty one when nothing is known.
[[nodiscard]] const attempt_record& find_record(const state& self, const attempt_key& key);

/// Sets when a move began and the deadline that follows from it. A begin that is known is kept; on
/// a resumed move it is replaced by an earlier one.
void set_begin(state& self, const attempt_key& key, instant begun);

/// Merges a veto and logs it when it now takes the move back.
void raise_veto(state& self, const attempt_key& key, const veto& raised, actions& out);

[[nodiscard]] log_event make_log(const attempt_key& key, log_level level, std::string name,
                                 std::vector<log_field> fields);

} // namespace cyclamenhatch::moves
