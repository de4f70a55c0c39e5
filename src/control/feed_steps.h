#pragma once

#include "control/control.h"

/// Steps used when operators keep the configuration in their own format.
namespace cyclamenhatch::control {

/// A random delay before the first read of the store, up to `start_spread_ms`, so that nodes that
/// start together do not read at the same time.
[[nodiscard]] milliseconds random_start_delay(state& self);

/// Performs the reads, watches and record writes that are due. Precondition: `self.operator_reader`
/// is set.
void tick_feed(state& self, bool is_watcher, instant now, actions& out);

/// Handles a response of the store. Returns false when it answers another library's request.
/// Precondition: `self.operator_reader` is set.
[[nodiscard]] bool on_feed_response(state& self, const store::kv_response& response, instant now,
                                    actions& out);

/// The record for the ending of a move.
[[nodiscard]] feed::move_record make_record(const state& self, const store::move_close& close);

} // namespace cyclamenhatch::control
