#pragma once

#include "model/ids.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cyclamenhatch::call {

struct owner_shares;

/// A call that waits for a slot.
struct waiting_call {
    call_id call;
    /// It cannot be of use after that.
    instant deadline{};
};

/// Calls of one owner in the order in which they should start; the number keeps calls that are due
/// at the same time apart.
using due_queue = std::map<std::pair<instant, std::uint64_t>, waiting_call>;

/// Calls that wait for a slot. Not thread safe; the gate's holder guards it.
struct gate_queue {
    std::map<owner_id, due_queue> by_owner;
    std::size_t size = 0;
    std::uint64_t next_number = 0;
};

/// One waiting call.
struct queued_call {
    owner_id owner;
    due_queue::iterator at;
};

/// Adds a call that should start before all that are due later.
void push(gate_queue& queue, owner_shares& shares, const owner_id& owner, const waiting_call& call,
          instant due);
void remove(gate_queue& queue, owner_shares& shares, const queued_call& call);

/// The earliest call of the owner that has the least of its reservation in use. Precondition: the
/// queue is not empty.
[[nodiscard]] queued_call find_next(gate_queue& queue, owner_shares& shares);

/// The call to refuse in a full queue for a newcomer whose owner has less than its share of it: the
/// latest one of the owner that has the most beyond its share. Nothing when there is none.
[[nodiscard]] std::optional<queued_call> find_displaced(gate_queue& queue, owner_shares& shares,
                                                        const owner_id& newcomer);

/// Wherever the call stands in the queue.
[[nodiscard]] std::optional<queued_call> find_queued(gate_queue& queue, const call_id& call);

/// Calls that are due by this time.
[[nodiscard]] std::size_t count_ahead(const gate_queue& queue, instant due);

/// Calls that cannot be of use after this time.
[[nodiscard]] std::vector<queued_call> find_expired(gate_queue& queue, instant by);

} // namespace cyclamenhatch::call
