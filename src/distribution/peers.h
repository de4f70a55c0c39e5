#pragma once

#include "membership/membership.h"
#include "messages/peer_message.h"

#include <vector>

/// Chooses the members that this node pushes to, and addresses messages.
namespace cyclamenhatch::distribution {

/// Members that this node pushes to: `local_count` of its own data centre and `remote_count` of
/// others. The first of each is the next one on a hash ring; the rest are chosen by a hash of the
/// pair of nodes, so that links are reused. The two ring successors alone reach every member from
/// every other, however few nodes a data centre has. Suspect members are left out.
[[nodiscard]] std::vector<const msg::member_record_msg*>
push_targets(const membership::table& members, std::size_t local_count, std::size_t remote_count);

[[nodiscard]] outgoing make_outgoing(const msg::member_record_msg& receiver, peer_message message);

/// Addresses a message to a member by id. The address is empty when the member is unknown; a link
/// that is already open does not need it.
[[nodiscard]] outgoing make_outgoing(const membership::table& members, const node_id& receiver,
                                     peer_message message);

} // namespace cyclamenhatch::distribution
