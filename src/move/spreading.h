#pragma once

#include "membership/membership.h"
#include "messages/peer_message.h"
#include "model/random.h"
#include "move/attempt_key.h"
#include "move/permits.h"

#include <map>
#include <vector>

/// Spreads permits and vetoes: changes go to a few random members at once and for some ticks, and
/// all records go to one random member periodically.
namespace cyclamenhatch::moves {

/// Members that each change is sent to per round.
inline constexpr std::size_t news_fan_out = 3;

/// Rounds after which practically all of `members` members have received a change.
[[nodiscard]] std::uint32_t news_rounds(std::size_t members);

/// The records of the attempts as one message. Attempts without a permit are included with stage
/// zero, so that the receiver can tell what the sender lacks.
[[nodiscard]] msg::move_state_msg
make_state_message(const std::map<attempt_key, attempt_record>& records, instant now);

/// Sends the records whose latest change has been sent in fewer than `news_rounds` rounds.
void send_news(std::map<attempt_key, attempt_record>& records, const membership::table& members,
               instant now, random_source& random, std::vector<outgoing>& sends);

/// Sends all records to `count` random members, which answer with what this node lacks.
void send_exchange(const std::map<attempt_key, attempt_record>& records,
                   const membership::table& members, std::size_t count, instant now,
                   random_source& random, std::vector<outgoing>& sends);

/// Of the attempts named in `received`, those of which this node knows more than the sender.
[[nodiscard]] std::map<attempt_key, attempt_record>
find_missing(const std::map<attempt_key, attempt_record>& records,
             const msg::move_state_msg& received);

} // namespace cyclamenhatch::moves
