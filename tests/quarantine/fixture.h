#pragma once

#include "membership/membership.h"
#include "quarantine/quarantine.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenhatch::quarantine {

inline const instant start_time = from_unix_ms(1'800'000'000'000);

inline request_digest make_digest(std::uint64_t number) {
    return {.high = number + 1, .low = number * 7919};
}

/// A crash of a service's upstream while it ran the given requests.
inline call::upstream_crash make_crash(const std::vector<request_digest>& digests) {
    call::upstream_crash crash{
        .service = service_id("s"), .version = version_id("v"), .instance = "i"};
    for (const auto& digest : digests) {
        crash.runs.push_back({.digest = digest, .route = route_id("r"), .request_id = "q"});
    }
    return crash;
}

/// Nodes that know each other, in virtual time. A message arrives 20 ms after it was sent; there is
/// no store.
struct small_fleet {
    explicit small_fleet(std::size_t count);

    /// Replaces a node by a new process that knows nothing.
    void restart(std::size_t node);
    void crash(std::size_t node, const std::vector<request_digest>& digests);
    void run_well(std::size_t node, const request_digest& digest);
    void run(milliseconds time);

    /// Whether the call path of a node refuses the request.
    [[nodiscard]] bool is_held(std::size_t node, const request_digest& digest) const;
    /// Crashes that the call path of a node reads of the request.
    [[nodiscard]] std::size_t crashes(std::size_t node, const request_digest& digest) const;
    /// Nodes that refuse the request.
    [[nodiscard]] std::size_t count_holding(const request_digest& digest) const;
    [[nodiscard]] std::size_t count_events(std::string_view name) const;
    [[nodiscard]] std::size_t size() const { return nodes.size(); }

    instant now = start_time;
    random_source random{7};
    std::vector<membership::table> tables;
    std::vector<state> nodes;
    std::vector<log_event> logs;
    /// One in so many messages is lost; none if 0.
    std::size_t loss = 0;
    std::size_t largest_message = 0;
    std::size_t messages = 0;

private:
    struct delivery {
        std::size_t from;
        std::size_t to;
        peer_message message;
    };
    void carry_out(std::size_t sender, actions&& out);
    void deliver();
    std::vector<delivery> in_transit;
};

} // namespace cyclamenhatch::quarantine
