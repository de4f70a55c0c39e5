#pragma once

#include "allowance/limit.h"
#include "messages/peer_message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

/// The entry's side: the calls that keepers have lent to this entry.
namespace cyclamenhatch::allowance {

/// A busy entry asks for the calls that it expects in this time.
inline constexpr microseconds ask_interval{100'000};
/// An ask without an answer is repeated after this time.
inline constexpr microseconds ask_timeout{50'000};
/// Longest time that a call waits for a keeper.
inline constexpr microseconds longest_wait{100'000};
/// Calls that wait at one entry at most.
inline constexpr std::size_t max_waiting = 512;
/// When callers may come back if no keeper answers.
inline constexpr milliseconds silent_retry{500};

struct loan {
    instant ends_at;
    std::uint32_t calls = 0;
};

struct stock_counters {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Refused although no keeper had answered.
    std::uint64_t refused_silent = 0;
    std::uint64_t waited = 0;
    /// Admitted from the fixed part.
    std::uint64_t fixed = 0;
};

/// What an entry holds of one workspace.
struct stock {
    std::deque<loan> loans;
    /// Calls that reached upstreams without a lent call: repeats of ours. Paid from later loans.
    std::uint32_t debt = 0;
    /// Calls that wait here for a loan.
    std::uint32_t waiting = 0;
    /// Calls in the interval in progress and, decayed, in an earlier one.
    double recent_calls = 0;
    double expected_calls = 0;
    instant interval_began;
    /// The latest ask without an answer; 0 if there is none.
    std::uint64_t pending = 0;
    instant asked_at;
    /// The keeper's last word: no call before this time.
    instant refused_until;
    /// Until then the keeper is not asked again.
    instant next_ask;
    instant heard_at;
    /// The silence of the keeper was logged.
    instant silence_noted;
    instant fixed_window;
    std::size_t fixed_used = 0;
    instant used_at;
    stock_counters counts;
};

struct ask {
    node_id keeper;
    instant sent_at;
};

/// Plain data; the caller serialises access.
struct entry_state {
    node_id self;
    rules stated;
    std::map<workspace_id, stock> stocks;
    std::map<std::uint64_t, ask> asks;
    std::uint64_t last_sequence = 0;
    std::size_t waiting = 0;
};

/// Notes the arrival of a call, for the estimate of what is needed next.
void note_call(entry_state& self, const workspace_id& name, instant now);

/// Takes a lent call; returns whether there was one.
[[nodiscard]] bool take(entry_state& self, const workspace_id& name, instant now);

/// The time after which the keeper has calls again, by its last word; nothing while that is not
/// known.
[[nodiscard]] std::optional<microseconds> refused_for(const entry_state& self,
                                                      const workspace_id& name, instant now);

/// Takes a call of this node's fixed part, if no keeper has answered lately; returns whether there
/// was one.
[[nodiscard]] bool take_fixed(entry_state& self, const workspace_id& name,
                              const std::vector<call::peer>& live, instant now);

/// A call begins or ceases to wait for a loan.
void note_waiting(entry_state& self, const workspace_id& name);
void note_wait_ended(entry_state& self, const workspace_id& name);

/// Another attempt of a call that was admitted before and may have run. Ignored for a workspace
/// without an allowance.
void note_repeat(entry_state& self, const workspace_id& name, instant now);

/// The requests to send now, one for each keeper.
[[nodiscard]] std::vector<outgoing> make_requests(entry_state& self,
                                                  const std::vector<call::peer>& live, instant now);

/// Adds the calls of a loan. One that answers no request of this entry is ignored. Returns the
/// workspaces that it speaks of.
[[nodiscard]] std::vector<workspace_id> on_loan(entry_state& self, const node_id& sender,
                                                const msg::allowance_loan_msg& message,
                                                instant now);

/// Forgets the workspaces that were not used for a while. Call it every few seconds.
void forget_idle(entry_state& self, instant now);

/// Calls that are lent and neither used nor lost.
[[nodiscard]] std::uint32_t count_lent(const stock& held, instant now);

} // namespace cyclamenhatch::allowance
