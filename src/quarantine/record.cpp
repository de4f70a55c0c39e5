#include "quarantine/record.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <tuple>

namespace cyclamenhatch::quarantine {
namespace {

/// An id holds the time in milliseconds above this many random bits.
constexpr unsigned random_bits = 22;
constexpr milliseconds longest_release_spread{30'000};

std::uint64_t newest(const record& self) {
    return self.crashes.empty() ? 0 : self.crashes.back();
}

bool add(crash_ids& ids, const crash_ids& added) {
    crash_ids all;
    std::set_union(ids.begin(), ids.end(), added.begin(), added.end(), std::back_inserter(all));
    if (all.size() > max_crash_ids) {
        all.erase(all.begin(), all.end() - static_cast<std::ptrdiff_t>(max_crash_ids));
    }
    if (all == ids) {
        return false;
    }
    ids = std::move(all);
    return true;
}

/// `earlier_holds`: those that ended and were followed by another crash.
seconds hold_time(std::size_t earlier_holds) {
    if (earlier_holds >= max_crash_ids - crashes_to_hold) {
        return longest_hold;
    }
    return std::min(longest_hold, first_hold * (1U << earlier_holds));
}

std::uint64_t milliseconds_of(std::uint64_t id) {
    return id >> random_bits;
}

/// Counts the holds that ended and were followed by another crash. Crashes while a hold lasts were
/// under way when it began, and say nothing about whether the request is cured.
std::size_t count_earlier_holds(const crash_ids& crashes, const crash_ids& cleared) {
    std::size_t counted = 0;
    std::size_t holds = 0;
    std::uint64_t held_until = 0;
    for (const auto id : crashes) {
        if (std::binary_search(cleared.begin(), cleared.end(), id)) {
            continue;
        }
        if (++counted < crashes_to_hold) {
            continue;
        }
        const auto at = milliseconds_of(id);
        if (counted > crashes_to_hold && at > held_until) {
            ++holds;
        }
        const auto hold_ms = milliseconds(hold_time(holds)).count();
        held_until = std::max(held_until, at + static_cast<std::uint64_t>(hold_ms));
    }
    return holds;
}

seconds hold_time(const record& self) {
    return hold_time(count_earlier_holds(self.crashes, self.cleared));
}

} // namespace

std::uint64_t make_crash_id(std::uint64_t highest_known, instant now, random_source& random) {
    constexpr std::uint64_t last_time = UINT64_MAX >> random_bits;
    const auto own_time = static_cast<std::uint64_t>(to_unix_ms(now));
    const auto time = std::max(own_time, milliseconds_of(highest_known) + 1);
    std::uniform_int_distribution<std::uint64_t> low(1, (1ULL << random_bits) - 1);
    return (std::min(time, last_time) << random_bits) | low(random);
}

bool merge(record& self, const record& other) {
    if (newest(other) > newest(self)) {
        self.service = other.service;
        self.route = other.route;
        self.last_crash = other.last_crash;
    } else if (newest(other) == newest(self)) {
        // An age grows old on its way, so the earliest time is the nearest to the truth.
        self.last_crash = std::min(self.last_crash, other.last_crash);
        if (std::tie(other.service, other.route) < std::tie(self.service, self.route)) {
            self.service = other.service;
            self.route = other.route;
        }
    }
    const bool has_new_crash = add(self.crashes, other.crashes);
    const bool has_new_clear = add(self.cleared, other.cleared);
    return has_new_crash || has_new_clear;
}

void add_crash(record& self, std::uint64_t id, instant at) {
    if (id > newest(self)) {
        self.last_crash = at;
    }
    add(self.crashes, {id});
}

bool clear(record& self) {
    const bool has_counted = count_crashes(self) > 0;
    add(self.cleared, self.crashes);
    return has_counted;
}

std::size_t count_crashes(const record& self) {
    return static_cast<std::size_t>(
        std::count_if(self.crashes.begin(), self.crashes.end(), [&](std::uint64_t id) {
            return !std::binary_search(self.cleared.begin(), self.cleared.end(), id);
        }));
}

instant hold_end(const record& self) {
    return count_crashes(self) < crashes_to_hold ? instant::min()
                                                 : self.last_crash + hold_time(self);
}

instant release_time(const record& self, const request_digest& digest, const node_id& node) {
    const auto crashes = count_crashes(self);
    if (crashes < crashes_to_hold) {
        return instant::min();
    }
    const auto spread = std::min(longest_release_spread, milliseconds(hold_time(self)) / 2);
    const auto hash = membership::stable_hash(node.value, digest.low ^ crashes);
    const milliseconds delay(hash % static_cast<std::uint64_t>(spread.count()));
    return hold_end(self) + delay;
}

instant expiry(const record& self) {
    if (self.crashes.size() < crashes_to_hold) {
        return self.last_crash + suspicion_time;
    }
    return self.last_crash + hold_time(count_earlier_holds(self.crashes, {})) + memory_after_hold;
}

} // namespace cyclamenhatch::quarantine
