#pragma once

#include "model/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Both ends of an HTTP load: an upstream with a limited number of slots and an open-loop caller.
namespace cyclamenhatch::bench {

struct upstream_options {
    /// 0 for a free port.
    std::uint16_t port = 0;
    /// Requests served at once; further ones wait, as for a pool of workers.
    unsigned slots = 12;
    microseconds service_time{1000};
    std::size_t answer_bytes = 200;
    unsigned threads = 1;
};

struct upstream_counts {
    std::uint64_t runs = 0;
    /// Runs of a call id that had run before.
    std::uint64_t doubled = 0;
};

/// An upstream that serves until it is destroyed. Opaque.
struct bench_upstream;

[[nodiscard]] std::shared_ptr<bench_upstream> start_upstream(const upstream_options& options);
[[nodiscard]] std::uint16_t port_of(const bench_upstream& upstream);
[[nodiscard]] upstream_counts counts_of(const bench_upstream& upstream);
/// Whether a call with this id ran. Precondition: no load is running.
[[nodiscard]] bool has_run(const bench_upstream& upstream, const std::string& id);
/// Changes the service time of the calls that start from now on.
void set_service_time(bench_upstream& upstream, microseconds service_time);

struct load_options {
    /// Ports of the entries; connections are distributed over them in turn.
    std::vector<std::uint16_t> ports;
    double calls_per_s = 1000;
    microseconds duration{5'000'000};
    /// Time before `duration` whose calls are not counted.
    microseconds warm_up{1'000'000};
    unsigned connections = 64;
    /// Sent with each request as cyclamenhatch-deadline-ms; 0 for none.
    unsigned deadline_ms = 0;
    unsigned threads = 1;
};

struct load_result {
    /// From the scheduled time of a call to the end of its answer, for calls answered 200 only.
    /// Sorted.
    std::vector<std::uint32_t> latencies_us;
    std::uint64_t sent = 0;
    std::uint64_t ok = 0;
    /// Calls of `ok` that were answered before the load ended.
    std::uint64_t ok_in_time = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t other = 0;
    /// Calls dropped because too many waited for a free connection.
    std::uint64_t not_sent = 0;
    double seconds = 0;
    /// Ids of the calls reported as not run.
    std::vector<std::string> not_run_ids;
};

/// Sends calls at a steady rate, regardless of their outcome, and waits for the last one.
[[nodiscard]] load_result run_load(const load_options& options);

/// Returns the value at the rank `share` (0 to 1) of sorted values; 0 when there are none.
[[nodiscard]] std::uint32_t percentile(const std::vector<std::uint32_t>& sorted, double share);

} // namespace cyclamenhatch::bench
