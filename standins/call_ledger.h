#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace cyclamenhatch::standin {

/// Every run of an upstream by call key, so that doubled and lost runs can be counted.
struct call_ledger {
    std::unordered_map<std::string, std::uint32_t> runs_by_key;
    std::uint64_t runs = 0;
    std::uint64_t doubled = 0;
    /// Runs without a key.
    std::uint64_t keyless = 0;
    /// Runs whose connection was closed before their end.
    std::uint64_t cancelled = 0;
    std::uint64_t in_flight = 0;
    std::uint64_t most_in_flight = 0;
    /// Calls beyond the slots, answered without a run.
    std::uint64_t shed = 0;
    /// Runs that began after draining was announced.
    std::uint64_t runs_draining = 0;
};

void start_run(call_ledger& ledger, const std::string& key);

/// As JSON; with every key when `is_full`.
[[nodiscard]] std::string write_ledger(const call_ledger& ledger, bool is_full);

} // namespace cyclamenhatch::standin
