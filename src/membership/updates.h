#pragma once

#include "membership/membership.h"

#include <memory>
#include <vector>

/// The queue of member records that still have to be sent to others.
namespace cyclamenhatch::membership {

using record_list = std::vector<std::unique_ptr<msg::member_record_msg>>;

/// Queues the record of `node` for sending. Its counts restart if it was queued already.
void queue_update(table& state, const node_id& node);

/// Records for one message to the receiver: its own if it is not alive here, so that it can refute
/// it, then the least sent ones. At most updates_per_message; each is dropped from the queue after
/// about 3 log2(n) sends.
[[nodiscard]] record_list take_updates(table& state, const node_id& receiver_id);

/// Pushes new updates to a few random members without waiting for a probe, within a byte budget.
void push_updates(table& state, instant now, random_source& random, std::vector<outgoing>& sends);

/// A message that carries updates and needs no answer.
[[nodiscard]] outgoing make_push(const msg::member_record_msg& receiver, record_list updates);

/// Up to `count` distinct random live members other than this node.
[[nodiscard]] std::vector<const msg::member_record_msg*>
choose_members(const table& state, std::size_t count, random_source& random);

} // namespace cyclamenhatch::membership
