#pragma once

#include "model/ids.h"
#include "model/time.h"

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace cyclamenhatch::call {

struct owner_shares;

/// A call that waits for a slot.
struct waiting_call {
    call_id call;
    /// After this the call is useless to the caller.
    instant deadline{};
    /// After this the call counts as overdue.
    instant overdue_at{};
    /// Expected time at the upstream.
    microseconds run_time{0};
};

/// Position of a call in the queue: by rank, then by due time, then by arrival number.
struct queue_position {
    /// The lowest goes first.
    int rank = 0;
    instant due{};
    std::uint64_t number = std::numeric_limits<std::uint64_t>::max();

    friend auto operator<=>(const queue_position&, const queue_position&) = default;
};

/// Calls of one owner in the order in which they should start.
using due_queue = std::map<queue_position, waiting_call>;

/// Calls that wait for a slot. Not thread safe; the holder of the gate serialises access.
struct gate_queue {
    std::map<owner_id, due_queue> by_owner;
    std::size_t size = 0;
    std::uint64_t next_number = 0;
};

/// One waiting call.
struct queued_call {
    owner_id owner;
    due_queue::iterator place;
};

/// Adds a call behind those of the same rank and due time.
void push(gate_queue& queue, owner_shares& shares, const owner_id& owner, const waiting_call& call,
          queue_position position);
void remove(gate_queue& queue, owner_shares& shares, const queued_call& call);

/// The first call of the owner that uses the least of its reservation. Precondition: the
/// queue is not empty.
[[nodiscard]] queued_call find_next(gate_queue& queue, owner_shares& shares);

/// The call that has been overdue for the longest time; nothing when none is overdue.
[[nodiscard]] std::optional<queued_call> find_overdue(gate_queue& queue, instant now);

/// The call to refuse when a new call meets a full queue: the last call of the owner with the most
/// queued calls for its reservation, if the new call's owner has fewer, or is the same owner and
/// the new call goes first. Nothing when there is none.
[[nodiscard]] std::optional<queued_call> find_displaced(gate_queue& queue, owner_shares& shares,
                                                        const owner_id& new_call_owner,
                                                        const queue_position& position);

/// The call's place in the queue; nothing when it is not queued.
[[nodiscard]] std::optional<queued_call> find_queued(gate_queue& queue, const call_id& call);

/// All waiting calls in order of their positions, over all owners.
[[nodiscard]] std::vector<queued_call> list_in_order(gate_queue& queue);

/// Number of the calls ahead of a position and the sum of their run times.
struct work_ahead {
    std::size_t calls = 0;
    microseconds run_time{0};
};

[[nodiscard]] work_ahead sum_work_ahead(const gate_queue& queue, const queue_position& position);

/// Calls whose deadline is at or before `latest`.
[[nodiscard]] std::vector<queued_call> find_expired(gate_queue& queue, instant latest);

} // namespace cyclamenhatch::call
