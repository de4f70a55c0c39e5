#pragma once

#include "model/ids.h"
#include "model/snapshot.h"
#include "model/time.h"

#include <cstdint>
#include <map>

/// Slot use per owner at one gate, by which free slots are assigned.
namespace cyclamenhatch::call {

/// Slot-seconds since the gate started, in slot-microseconds.
struct owner_usage {
    std::uint64_t reserved = 0;
    std::uint64_t used = 0;
    /// Reserved but used by other owners.
    std::uint64_t lent = 0;
    /// Used beyond the reservation.
    std::uint64_t borrowed = 0;
    std::uint64_t calls = 0;
};

struct owner_share {
    /// Slots that the owner's services reserve; the weight of its share.
    std::uint32_t reserved_slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    owner_usage usage;
};

struct owner_shares {
    std::map<owner_id, owner_share> owners;
    instant counted_until{};
};

/// An owner's reservation at this upstream, in slots. All reservations are scaled down when their
/// sum exceeds the upstream's slots.
[[nodiscard]] double scaled_reservation(const owner_shares& shares, const owner_share& share,
                                        std::uint32_t slots);

/// Adds the slot time since the previous count_usage() at the current running counts. Call it
/// before a running count, a reservation or the number of slots changes.
void count_usage(owner_shares& shares, std::uint32_t slots, instant now);

/// Ratio of an owner's running calls to its reservation; the lowest is served first.
[[nodiscard]] double used_ratio(const owner_share& share);

/// Slots that each owner reserves at an upstream: the maximum over its services.
[[nodiscard]] std::map<owner_id, std::uint32_t> collect_reservations(const snapshot& config);

/// Replaces the reservations. Owners without one keep a weight below any reserved slot.
void set_reservations(owner_shares& shares, const std::map<owner_id, std::uint32_t>& reserved);

} // namespace cyclamenhatch::call
