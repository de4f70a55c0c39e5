#pragma once

#include "membership/membership.h"
#include "messages/peer_message.h"
#include "model/random.h"
#include "move/attempt_key.h"
#include "move/permits.h"

#include <map>
#include <vector>

/// Passes permits and vetoes on: news to a few random members at once and for some ticks, and
/// everything known to one random member now and then.
namespace cyclamenhatch::moves {

/// Members that each piece of news is sent to per round.
inline constexpr std::size_t news_fan_out = 3;

/// Up to `count` random live members other than this node.
[[nodiscard]] std::vector<const msg::member_record_msg*>
pick_members(const membership::table& members, std::size_t count, random_source& random);

/// Rounds after which practically all of `members` members know.
[[nodiscard]] std::uint32_t news_rounds(std::size_t members);

/// Everything known of the attempts, as one message. Attempts without a permit are named with stage
/// zero, so that the receiver can tell what the sender lacks.
[[nodiscard]] msg::move_state_msg
make_state_message(const std::map<attempt_key, attempt_record>& of);

/// Sends what is news still.
void send_news(std::map<attempt_key, attempt_record>& records, const membership::table& members,
               random_source& random, std::vector<outgoing>& sends);

/// Sends all records to `count` random members; they answer with what this node lacks.
void send_exchange(const std::map<attempt_key, attempt_record>& records,
                   const membership::table& members, std::size_t count, random_source& random,
                   std::vector<outgoing>& sends);

/// Of the attempts that `heard` names, those of which this node knows more than the sender.
[[nodiscard]] std::map<attempt_key, attempt_record>
lacking(const std::map<attempt_key, attempt_record>& records, const msg::move_state_msg& heard);

} // namespace cyclamenhatch::moves
