#pragma once

#include "wire/link_pool_state.h"

/// Selects one of several links to a peer. Each node sends over one link at a time and switches
/// only after closing that link, so messages of one direction stay in order. Two nodes that dial
/// each other at the same time may each send over their own link.
namespace cyclamenhatch::wire {

/// Returns the established link to the same peer that received data last, not counting `excluded`,
/// or null.
[[nodiscard]] link_ptr find_other_link(const link_pool& pool, const link& excluded);

/// Decides whether a newly established link is used. A spare replaces the link that it tests when
/// that one showed no sign of life since the dial: the connection is dead, not the peer. Otherwise
/// the link in use is kept and a spare is closed.
void choose_link(const pool_ptr& pool, const link_ptr& new_link);

/// Call when the peer has sent a message over `current`. Closes the link that it used before: the
/// peer has closed its end, though this node may not have received the close.
void follow_peer(link_pool& pool, const link_ptr& current);

} // namespace cyclamenhatch::wire
