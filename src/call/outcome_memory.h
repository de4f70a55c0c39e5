#pragma once

#include "messages/peer_message.h"
#include "model/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

/// A gate's record of calls, so that none runs twice and a lost answer can be sent again.
namespace cyclamenhatch::call {

using stored_answer = std::shared_ptr<const msg::call_answer_msg>;
using stored_refusal = msg::call_refused_msg;

enum class memory_state {
    queued,
    running,
    /// Ended with an answer, which is kept while there is room.
    answered,
    /// Ended, or refused, without an answer.
    refused,
    /// Must never run: a reattach or a cancel arrived before the call.
    tombstone,
};

struct remembered_call {
    memory_state state = memory_state::queued;
    /// The node that waits for the end: the last one that sent the call or a reattach.
    node_id waiter;
    route_id route;
    /// Null when it was dropped for room or was streamed.
    stored_answer answer;
    stored_refusal refused;
    /// The call is remembered until then, so that a reported not_run holds.
    instant keep_until{};
    std::size_t bytes = 0;
};

/// Not thread safe; the caller serialises access.
struct outcome_memory {
    std::unordered_map<call_id, remembered_call> calls;
    /// Ended calls by the time when they may be forgotten.
    std::map<instant, std::vector<call_id>> due;
    /// Kept answers, oldest first, with the time when each is dropped.
    struct kept_answer {
        call_id call;
        instant drop_at{};
    };
    std::deque<kept_answer> kept_answers;
    std::size_t answer_bytes = 0;
    std::size_t tombstones = 0;
    /// Until this time an unknown call may be one that was forgotten before its `keep_until`.
    instant uncertain_until{};
    std::uint64_t dropped_answers = 0;
};

struct memory_bounds {
    microseconds keep_answers{10'000'000};
    std::size_t max_answer_bytes = 16'777'216;
    std::size_t max_calls = 200'000;
    std::size_t max_tombstones = 50'000;
};

/// Lifetime of a tombstone: far longer than a message can be delayed on a link, which is closed
/// after seconds of silence.
inline constexpr microseconds tombstone_time{60'000'000};

/// Records the end of a call. A null answer means that it was streamed or cut and is not kept.
void remember_answer(outcome_memory& memory, const call_id& call, stored_answer answer,
                     const memory_bounds& bounds, instant now);

/// Records the end of a call without an answer, so that a duplicate is refused the same way.
void remember_refusal(outcome_memory& memory, const call_id& call, stored_refusal refused,
                      const memory_bounds& bounds, instant now);

/// Ensures that the call never runs here. False when there is no room for another tombstone.
[[nodiscard]] bool place_tombstone(outcome_memory& memory, const call_id& call,
                                   const memory_bounds& bounds, instant now);

/// Forgets calls and answers that have expired or exceed the bounds.
void trim(outcome_memory& memory, const memory_bounds& bounds, instant now);

} // namespace cyclamenhatch::call
