#pragma once

#include "membership/membership.h"
#include "messages/peer_message.h"

#include <vector>

/// Which members this node sends to of its own accord.
namespace cyclamenhatch::distribution {

/// Members that this node pushes to: the next one on a ring of its data centre and the next one of
/// another data centre on the ring of all, and more by a hash of the pair, so that links are used
/// again. The two rings alone reach every member from every other, however few nodes a data centre
/// has. Members under suspicion are left out. `across` counts members of other data centres.
[[nodiscard]] std::vector<const msg::member_record_msg*>
push_targets(const membership::table& members, std::size_t within, std::size_t across);

[[nodiscard]] outgoing send_to(const msg::member_record_msg& to, peer_message message);

/// Addresses a message to a member by id; without an address when it is unknown, which a link that
/// is open already does not need.
[[nodiscard]] outgoing send_to(const membership::table& members, const node_id& to,
                               peer_message message);

} // namespace cyclamenhatch::distribution
