#pragma once

#include "control/control.h"

/// How control follows operators who keep their configuration in a form of their own.
namespace cyclamenhatch::control {

/// A random wait before the store is read at start, so that nodes that start together spread out.
[[nodiscard]] milliseconds start_spread(state& self);

/// Reads, watches and writes records as is due. Precondition: the state has an operators' reader.
void tick_feed(state& self, bool watches, instant now, actions& wanted);

/// Takes a response of the store; false when it belongs to something else. Precondition: as above.
[[nodiscard]] bool on_feed_response(state& self, const store::kv_response& response, instant now,
                                    actions& wanted);

/// The record for the ending of a move.
[[nodiscard]] feed::move_record make_record(const state& self, const store::move_close& close);

} // namespace cyclamenhatch::control
