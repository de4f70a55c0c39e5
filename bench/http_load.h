#pragma once

#include "model/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Both ends of HTTP load: an upstream with slots and a caller with an open loop.
namespace cyclamenhatch::bench {

struct upstream_options {
    std::uint16_t port = 0;
    /// Requests worked on at once; more wait, as in a pool of workers.
    unsigned slots = 12;
    microseconds service_time{1000};
    std::size_t answer_bytes = 200;
    unsigned threads = 1;
};

struct upstream_counts {
    std::uint64_t runs = 0;
    /// Runs of an id that had run before.
    std::uint64_t doubled = 0;
};

/// Opaque; serves until it is destroyed.
struct bench_upstream;

[[nodiscard]] std::shared_ptr<bench_upstream> start_upstream(const upstream_options& options);
[[nodiscard]] std::uint16_t port_of(const bench_upstream& upstream);
[[nodiscard]] upstream_counts counts_of(const bench_upstream& upstream);
/// Whether a call with this id was run. Precondition: no load is under way.
[[nodiscard]] bool has_run(const bench_upstream& upstream, const std::string& id);
/// Makes the upstream slower or faster from now on.
void set_service_time(bench_upstream& upstream, microseconds to);

struct load_options {
    /// Ports of the entries; connections are spread over them.
    std::vector<std::uint16_t> ports;
    double calls_per_s = 1000;
    microseconds duration{5'000'000};
    /// Left out of the results.
    microseconds warm_up{1'000'000};
    unsigned connections = 64;
    /// Sent with each request as cyclamenhatch-deadline-ms; 0 for none.
    unsigned deadline_ms = 0;
    unsigned threads = 1;
};

struct load_result {
    /// From the time when a call was due to its answer's end, calls answered 200 only, sorted.
    std::vector<std::uint32_t> latencies_us;
    std::uint64_t sent = 0;
    std::uint64_t ok = 0;
    /// Those of them that were answered before the load ended.
    std::uint64_t ok_in_time = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t other = 0;
    /// Calls for which no connection was free in time to send them.
    std::uint64_t not_sent = 0;
    double seconds = 0;
    /// Calls that were told not to have run.
    std::vector<std::string> not_run_ids;
};

/// Sends calls at a steady rate whatever becomes of them, and waits for the last one.
[[nodiscard]] load_result run_load(const load_options& options);

[[nodiscard]] std::uint32_t percentile(const std::vector<std::uint32_t>& sorted, double share);

} // namespace cyclamenhatch::bench
