#pragma once

#include "model/ids.h"
#include "model/random.h"
#include "model/request_digest.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Keeps requests under which several upstreams have crashed away from further upstreams. Every
/// node counts the crashes of every request; what nodes know merges in any order to the same
/// result, so that lost, repeated and late messages are harmless. No I/O: time, randomness and
/// messages are arguments.
namespace cyclamenhatch::quarantine {

/// Crashes that count at which a request is held.
inline constexpr std::size_t crashes_to_hold = 3;
/// Crash ids kept of one request, the newest ones.
inline constexpr std::size_t max_crash_ids = 8;
/// How long a request is held after the crash that made it held. Doubles with each crash that comes
/// after the last hold has ended; the longest hold follows when the list of ids holds no more.
inline constexpr seconds first_hold{60};
inline constexpr seconds longest_hold{3600};
/// How long a request that is not held is remembered after its last crash.
inline constexpr seconds suspicion_time{60};
/// How long a request is remembered after the end of its hold, so that one further crash holds it
/// again.
inline constexpr seconds memory_after_hold{3600};

/// Ids of crashes, ascending. A later crash has a higher id.
using crash_ids = std::vector<std::uint64_t>;

/// What is known of one request. Both lists keep the newest `max_crash_ids` ids. Every cleared id
/// is an id of a crash, so an id that is kept in `crashes` and was cleared is also kept in
/// `cleared`, and the count is exact among the newest crashes; a further crash never lowers it.
///
/// Costs at most 500 bytes with its place in the table, plus the texts of long names.
struct record {
    service_id service;
    route_id route;
    crash_ids crashes;
    /// Crashes that no longer count.
    crash_ids cleared;
    /// Time of the crash with the highest id.
    instant last_crash;
    /// Number of rounds in which the latest change was sent.
    std::uint32_t times_sent = 0;
    /// The hold in force was logged.
    bool is_hold_noted = false;
};

/// An id for a crash at `now`: higher than `highest_known`, and unique by 22 random bits.
[[nodiscard]] std::uint64_t make_crash_id(std::uint64_t highest_known, instant now,
                                          random_source& random);

/// Adds what `other` knows of the same request. Associative, commutative and idempotent. Returns
/// whether the ids changed.
bool merge(record& self, const record& other);

/// Adds a crash. Precondition: `id` is not zero.
void add_crash(record& self, std::uint64_t id, instant at);

/// Clears all known crashes. Returns whether any counted.
bool clear(record& self);

/// Crashes that count.
[[nodiscard]] std::size_t count_crashes(const record& self);

/// End of the hold; instant::min() when the crashes do not suffice for one.
[[nodiscard]] instant hold_end(const record& self);

/// When the node lets the request through again. The nodes do so one after another within half of
/// the hold, at most 30 s, so that a request that still crashes upstreams meets few of them
/// before the news of its next crash arrives. instant::min() without a hold.
[[nodiscard]] instant release_time(const record& self, const request_digest& digest,
                                   const node_id& node);

/// When the record is forgotten. Cleared crashes lengthen it like others, so that no node forgets
/// that they were cleared while another still counts them.
[[nodiscard]] instant expiry(const record& self);

} // namespace cyclamenhatch::quarantine
