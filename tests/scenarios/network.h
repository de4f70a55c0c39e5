#pragma once

#include "messages/peer_message.h"
#include "model/random.h"
#include "model/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Delivers messages between nodes in virtual time: delay, loss, cut, and nothing else.
namespace cyclamenhatch::scenarios {

/// Where a node stands.
struct location {
    std::string data_centre;
    std::string region;
};

struct latencies {
    microseconds within{250};
    microseconds between{500};
    microseconds across{20'000};
    /// Up to this much more, so that messages cross.
    microseconds jitter{300};
};

struct delivery {
    instant at;
    std::uint64_t order = 0;
    std::size_t to = 0;
    incoming message;
};

struct network {
    latencies delays;
    std::uint32_t loss_permille = 0;
    /// Ordered pairs of nodes between which nothing passes, and until when.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::vector<std::pair<std::pair<std::size_t, std::size_t>, instant>> silences;
    std::vector<location> places;
    /// A heap, the earliest first.
    std::vector<delivery> in_flight;
    std::uint64_t next_order = 1;
    /// Kinds of messages that are dropped, to see what a mechanism is good for.
    std::set<std::string> blocked_kinds;
    std::uint64_t messages = 0;
    /// Whole configurations sent by each node in the present second, and the most in any one.
    std::vector<std::size_t> snapshots;
    std::size_t most_snapshots = 0;
    std::vector<std::uint64_t> bytes_sent;
};

/// Sends a message, which may get lost. Counts its encoded size for the sender.
void send(network& net, std::size_t from, std::size_t to, incoming message, instant now,
          random_source& random);

/// Takes the next delivery due by `now`; false when there is none.
[[nodiscard]] bool take_due(network& net, instant now, delivery& due);

} // namespace cyclamenhatch::scenarios
