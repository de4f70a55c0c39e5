#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenhatch::standin {

/// Outcome of a call as seen by the caller.
enum class call_outcome { answered, not_run, unknown };

/// Counters of a load and the outcome of each call by its key.
struct call_tally {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    /// Answers that carry the key of another call or name another service.
    std::uint64_t wrong = 0;
    /// Answers from an upstream with a status of 500 or more.
    std::uint64_t errors = 0;
    /// Answers that did not come from an upstream, such as 404.
    std::uint64_t rejected = 0;
    std::uint64_t most_in_flight = 0;
    std::map<std::string, std::uint64_t> per_version;
    std::map<unsigned, std::uint64_t> per_status;
    std::map<std::string, std::uint64_t> per_error;
    std::vector<std::uint32_t> latencies_us;
    std::unordered_map<std::string, call_outcome> outcome_by_key;
};

/// Result of comparing the calls with the ledgers of the upstreams.
struct ledger_check {
    /// Ran more than once.
    std::uint64_t doubled = 0;
    /// Answered but absent from all ledgers.
    std::uint64_t lost = 0;
    /// Reported as not run but present in a ledger.
    std::uint64_t false_not_run = 0;
    /// Ledgers that could not be read.
    std::uint64_t unread = 0;
};

/// Compares the calls with the runs by key, summed over all ledgers. Does not set `unread`.
[[nodiscard]] ledger_check
check_ledgers(const call_tally& tally,
              const std::unordered_map<std::string, std::uint64_t>& runs_by_key);

/// Returns the value of a string member of flat JSON, or an empty view when it is absent. Avoids a
/// full parse, since it runs for every answer. Escapes are not decoded.
[[nodiscard]] std::string_view find_text(std::string_view json, std::string_view key);

/// Returns one line of key=value pairs; `has_ledgers` adds the fields of `check`. Reorders
/// `latencies_us`.
[[nodiscard]] std::string write_tally(call_tally& tally, const ledger_check& check,
                                      bool has_ledgers);

} // namespace cyclamenhatch::standin
