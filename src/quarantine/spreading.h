#pragma once

#include "quarantine/quarantine.h"

#include <cstddef>
#include <optional>
#include <utility>

/// Spreads records: changes go to a few random members at once and for some ticks; some records go
/// to one random member periodically, which answers with what the sender lacks of them; a node that
/// has just started asks for all.
namespace cyclamenhatch::quarantine {

/// Members that each change is sent to per round.
inline constexpr std::size_t news_fan_out = 3;
/// A message takes up to 16 KB, and less than half when most requests have seen one crash.
inline constexpr std::size_t max_records_per_message = 64;
/// Changes sent per round; those with most crashes go first.
inline constexpr std::size_t max_news = 32;

/// Rounds after which practically all of `members` members have received a change.
[[nodiscard]] std::uint32_t news_rounds(std::size_t members);

[[nodiscard]] msg::suspect_record_msg to_message(const request_digest& digest, const record& known,
                                                 instant now);

/// Empty when the message names no request or no crash.
[[nodiscard]] std::optional<std::pair<request_digest, record>>
from_message(const msg::suspect_record_msg& message, instant now);

/// Sends the records whose latest change has been sent in fewer than `news_rounds` rounds.
void send_news(state& self, const membership::table& members, instant now, random_source& random,
               std::vector<outgoing>& sends);

/// Sends records to a random member when an exchange is due, in turn when there are many.
void send_exchange(state& self, const membership::table& members, instant now,
                   random_source& random, std::vector<outgoing>& sends);

/// Asks random members for all they know, a few times after the start and after each pause.
void send_asks(state& self, const membership::table& members, instant now, random_source& random,
               std::vector<outgoing>& sends);

/// Answers a message with what its sender lacks of the records in it; with all when it has none.
/// Answers are not answered.
void answer(const state& self, const membership::table& members, const node_id& sender,
            const msg::quarantine_state_msg& message, instant now, std::vector<outgoing>& sends);

} // namespace cyclamenhatch::quarantine
