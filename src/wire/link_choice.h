#pragma once

#include "wire/link_pool_state.h"

/// Which of several links to one peer is used. Each node sends over one link at a time and takes
/// another only once it has closed the former, so messages of one direction keep their order. Two
/// nodes that dial each other at once may each send over a link of their own.
namespace cyclamenhatch::wire {

/// The other established link to the same peer that was heard last, or null.
[[nodiscard]] link_ptr find_other_link(const link_pool& pool, const link& besides);

/// Decides on a link that has just been established. A spare replaces the link that it was dialled
/// for when nothing came on that one since the dial: then the connection is silent, not the peer.
/// Else the link in use stays, and a spare is closed.
void choose_link(const pool_ptr& pool, const link_ptr& established);

/// Takes a message of the peer as its word that it sends over this link now: the one that it used
/// before is closed at its end, though that may not have been heard here.
void follow_peer(link_pool& pool, const link_ptr& chosen);

} // namespace cyclamenhatch::wire
