#pragma once

#include "messages/peer_message.h"
#include "model/random.h"
#include "model/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Simulates the network between nodes in virtual time. Messages may be delayed, overtaken or lost,
/// but are never duplicated or altered.
namespace cyclamenhatch::scenarios {

/// The data centre and region of a host.
struct location {
    std::string data_centre;
    std::string region;
};

/// One-way delays of messages.
struct latencies {
    /// Within a data centre.
    microseconds within{250};
    /// Between data centres of a region.
    microseconds between{500};
    /// Between regions.
    microseconds across{20'000};
    /// Upper bound of the random extra delay, which lets messages overtake each other.
    microseconds jitter{300};
};

/// A message in flight.
struct delivery {
    instant due_at;
    /// Order of sending, for messages due at the same time.
    std::uint64_t order = 0;
    /// Index of a host.
    std::size_t receiver = 0;
    incoming message;
};

struct network {
    latencies delays;
    std::uint32_t loss_permille = 0;
    /// Links that drop all messages, as pairs of sender and receiver, until they are healed.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    /// Links that drop all messages until the given time.
    std::vector<std::pair<std::pair<std::size_t, std::size_t>, instant>> silences;
    /// By host index, as are `snapshots` and `bytes_sent`.
    std::vector<location> places;
    /// A heap ordered by time of delivery, the earliest first.
    std::vector<delivery> in_flight;
    std::uint64_t next_order = 1;
    /// Kinds of messages that are dropped, to show that a scenario depends on a mechanism.
    std::set<std::string> blocked_kinds;
    /// Number of messages sent.
    std::uint64_t messages = 0;
    /// Whole configurations sent by each node in the current second, and the highest count of any
    /// node in any second.
    std::vector<std::size_t> snapshots;
    std::size_t peak_snapshots = 0;
    std::vector<std::uint64_t> bytes_sent;
};

/// Sends a message, which may be lost. Adds its encoded size to the bytes sent by the sender.
void send(network& net, std::size_t sender, std::size_t receiver, incoming message, instant now,
          random_source& random);

/// Moves the next delivery due by `now` into `due`. Returns false when there is none.
[[nodiscard]] bool take_due(network& net, instant now, delivery& due);

} // namespace cyclamenhatch::scenarios
