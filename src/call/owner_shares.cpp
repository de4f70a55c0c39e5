#include "call/owner_shares.h"

#include <algorithm>
#include <cmath>

namespace cyclamenhatch::call {
namespace {

/// Weight of an owner that reserved nothing.
constexpr double unreserved_weight = 0.25;

std::uint64_t slot_time(double slots, microseconds elapsed) {
    return static_cast<std::uint64_t>(std::llround(slots * static_cast<double>(elapsed.count())));
}

struct idle_and_borrowed {
    double idle = 0;
    double borrowed = 0;
};

idle_and_borrowed sum_idle_and_borrowed(const owner_shares& shares, std::uint32_t slots) {
    idle_and_borrowed sums;
    for (const auto& [name, share] : shares.owners) {
        const double reserved = scaled_reservation(shares, share, slots);
        sums.idle += std::max(0.0, reserved - share.running);
        sums.borrowed += std::max(0.0, share.running - reserved);
    }
    return sums;
}

} // namespace

double scaled_reservation(const owner_shares& shares, const owner_share& share,
                          std::uint32_t slots) {
    double all = 0;
    for (const auto& [name, other] : shares.owners) {
        all += other.reserved_slots;
    }
    const double scale = all > slots ? slots / all : 1.0;
    return share.reserved_slots * scale;
}

void count_usage(owner_shares& shares, std::uint32_t slots, instant now) {
    const auto elapsed = now - shares.counted_until;
    const bool is_first = shares.counted_until == instant{};
    if (elapsed.count() <= 0) {
        return;
    }
    shares.counted_until = now;
    if (is_first) {
        return;
    }
    const auto sums = sum_idle_and_borrowed(shares, slots);
    const double lent_share = sums.idle > 0 ? std::min(1.0, sums.borrowed / sums.idle) : 0.0;
    for (auto& [name, share] : shares.owners) {
        const double reserved = scaled_reservation(shares, share, slots);
        const double idle = std::max(0.0, reserved - share.running);
        share.usage.reserved += slot_time(reserved, elapsed);
        share.usage.used += slot_time(share.running, elapsed);
        share.usage.lent += slot_time(idle * lent_share, elapsed);
        share.usage.borrowed += slot_time(std::max(0.0, share.running - reserved), elapsed);
    }
}

double used_ratio(const owner_share& share) {
    const double weight = share.reserved_slots > 0 ? share.reserved_slots : unreserved_weight;
    return share.running / weight;
}

std::map<owner_id, std::uint32_t> collect_reservations(const snapshot& config) {
    std::map<owner_id, std::uint32_t> reserved;
    for (const auto& [name, part] : config.sections) {
        if (is_fleet_section(part->content)) {
            continue;
        }
        auto& slots = reserved[part->content.service.owner];
        slots = std::max(slots, part->content.service.reserved_slots);
    }
    return reserved;
}

void set_reservations(owner_shares& shares, const std::map<owner_id, std::uint32_t>& reserved) {
    for (auto& [name, share] : shares.owners) {
        share.reserved_slots = 0;
    }
    for (const auto& [name, slots] : reserved) {
        shares.owners[name].reserved_slots = slots;
    }
}

} // namespace cyclamenhatch::call
