#pragma once

#include "model/ids.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace cyclamenhatch::call {

struct owner_shares;

/// Calls of one owner in deadline order; the number keeps calls with the same deadline apart.
using deadline_queue = std::map<std::pair<instant, std::uint64_t>, call_id>;

/// Calls that wait for a slot. Not thread safe; the gate's holder guards it.
struct gate_queue {
    std::map<owner_id, deadline_queue> by_owner;
    std::size_t size = 0;
    std::uint64_t next_number = 0;
};

/// One waiting call.
struct queued_call {
    owner_id owner;
    deadline_queue::iterator at;
};

void push(gate_queue& queue, owner_shares& shares, const owner_id& owner, const call_id& call,
          instant deadline);
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

/// Calls that are due before the deadline.
[[nodiscard]] std::size_t count_ahead(const gate_queue& queue, instant deadline);

} // namespace cyclamenhatch::call
