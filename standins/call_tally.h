#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenhatch::standin {

/// What the caller learnt of one call.
enum class call_end { answered, not_run, unknown };

/// Counts of a load, and what ended how by call key.
struct call_tally {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    /// Answers that name another call's key, or another service.
    std::uint64_t wrong = 0;
    /// Answers with a status of 500 or more by the upstream.
    std::uint64_t errors = 0;
    /// Answers that no upstream gave, such as 404.
    std::uint64_t rejected = 0;
    std::uint64_t most_in_flight = 0;
    std::map<std::string, std::uint64_t> per_version;
    std::map<unsigned, std::uint64_t> per_status;
    std::map<std::string, std::uint64_t> per_error;
    std::vector<std::uint32_t> latencies_us;
    std::unordered_map<std::string, call_end> ends;
};

/// What the upstreams' ledgers say about our calls.
struct ledger_check {
    std::uint64_t doubled = 0;
    /// Answered, but in no ledger.
    std::uint64_t lost = 0;
    /// Reported as not run, but in a ledger.
    std::uint64_t false_not_run = 0;
    /// Ledgers that could not be read.
    std::uint64_t unread = 0;
};

/// Compares the calls with the runs by key, added up over all ledgers.
[[nodiscard]] ledger_check
check_ledgers(const call_tally& tally,
              const std::unordered_map<std::string, std::uint64_t>& runs_by_key);

/// The text of a string member of flat JSON, or empty; without a full parse, to spend little time.
[[nodiscard]] std::string_view find_text(std::string_view json, std::string_view key);

/// One line of key=value pairs. `has_ledgers` adds what the ledgers say.
[[nodiscard]] std::string write_tally(call_tally& tally, const ledger_check& check,
                                      bool has_ledgers);

} // namespace cyclamenhatch::standin
