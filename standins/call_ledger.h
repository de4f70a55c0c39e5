#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace cyclamenhatch::standin {

/// Counts the runs of an upstream by call key, to detect calls that ran twice or not at all.
struct call_ledger {
    std::unordered_map<std::string, std::uint32_t> runs_by_key;
    std::uint64_t runs = 0;
    /// Keys that ran more than once.
    std::uint64_t doubled = 0;
    /// Runs without a key.
    std::uint64_t keyless = 0;
    /// Runs whose connection was closed before their end.
    std::uint64_t cancelled = 0;
    std::uint64_t in_flight = 0;
    std::uint64_t most_in_flight = 0;
    /// Calls rejected because all slots were busy; they did not run.
    std::uint64_t shed = 0;
    /// Runs that started while the upstream was draining.
    std::uint64_t runs_draining = 0;
};

/// Counts a run that starts now; an empty key counts as keyless.
void start_run(call_ledger& ledger, const std::string& key);

/// Returns the counters as JSON; `is_full` adds the number of runs of every key.
[[nodiscard]] std::string write_ledger(const call_ledger& ledger, bool is_full);

} // namespace cyclamenhatch::standin
