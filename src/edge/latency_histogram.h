#pragma once

#include "model/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamenhatch::edge {

/// Parts of a call's latency.
enum class segment {
    /// From the request's head to its dispatch to a gate.
    entry,
    /// Attempt time that neither the gate's queue nor the upstream accounts for.
    link,
    /// Waiting of the message that opens a call on its link.
    link_delay,
    /// Waiting at the gate for a slot.
    gate_queue,
    /// From dispatch to the upstream's answer.
    upstream,
    /// From the request's head to the answer's, retries included.
    whole,
};

inline constexpr std::size_t segment_count = 6;

[[nodiscard]] std::string_view segment_name(segment part);

/// Latencies per segment on a logarithmic axis. Thread safe.
class latency_histograms {
public:
    latency_histograms();
    latency_histograms(const latency_histograms&) = delete;
    latency_histograms& operator=(const latency_histograms&) = delete;
    ~latency_histograms();

    void record(segment part, microseconds latency);

    /// Upper edge of the bin that holds the quantile (0 to 1), at most 100 s; zero when nothing was
    /// recorded.
    [[nodiscard]] microseconds quantile(segment part, double share) const;

    [[nodiscard]] std::uint64_t count(segment part) const;

    /// One Prometheus histogram with the segment as a label, in seconds.
    [[nodiscard]] std::string to_prometheus(std::string_view name) const;

private:
    struct bins;
    std::unique_ptr<bins> bins_;
};

} // namespace cyclamenhatch::edge
