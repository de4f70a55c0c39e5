#pragma once

#include "model/ids.h"
#include "model/snapshot.h"
#include "model/time.h"

#include <cstdint>
#include <map>

/// Slot use per owner at one gate, and who is next when a slot is free.
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

/// The reservations in slots of this upstream: scaled down when they exceed what it has.
[[nodiscard]] double scaled_reservation(const owner_shares& shares, const owner_share& of,
                                        std::uint32_t slots);

/// Books the slot time since the last call at the present running counts. Call it before any count,
/// reservation or the slots change.
void count_usage(owner_shares& shares, std::uint32_t slots, instant now);

/// How much of its reservation an owner has in use: lower goes first.
[[nodiscard]] double used_ratio(const owner_share& of);

/// The slots that each owner reserves at an upstream: the most of any of its services.
[[nodiscard]] std::map<owner_id, std::uint32_t> collect_reservations(const snapshot& config);

/// Takes over reservations; owners without one keep a weight below any reserved slot.
void set_reservations(owner_shares& shares, const std::map<owner_id, std::uint32_t>& reserved);

} // namespace cyclamenhatch::call
