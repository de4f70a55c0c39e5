#include "call_tally.h"

#include <algorithm>
#include <sstream>

namespace cyclamenhatch::standin {
namespace {

std::uint32_t percentile_us(std::vector<std::uint32_t>& latencies, double share) {
    if (latencies.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1));
    const auto element = latencies.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(latencies.begin(), element, latencies.end());
    return *element;
}

std::string escape_value(std::string text) {
    std::replace_if(
        text.begin(), text.end(),
        [](char character) { return character == ' ' || character == '='; }, '_');
    return text;
}

} // namespace

ledger_check check_ledgers(const call_tally& tally,
                           const std::unordered_map<std::string, std::uint64_t>& runs_by_key) {
    ledger_check check;
    for (const auto& [key, outcome] : tally.outcome_by_key) {
        const auto match = runs_by_key.find(key);
        const std::uint64_t runs = match == runs_by_key.end() ? 0 : match->second;
        check.doubled += runs > 1 ? 1 : 0;
        check.lost += outcome == call_outcome::answered && runs == 0 ? 1 : 0;
        check.false_not_run += outcome == call_outcome::not_run && runs > 0 ? 1 : 0;
    }
    return check;
}

std::string_view find_text(std::string_view json, std::string_view key) {
    const std::string prefix = "\"" + std::string(key) + "\":\"";
    const auto position = json.find(prefix);
    if (position == std::string_view::npos) {
        return {};
    }
    const auto start = position + prefix.size();
    const auto end = json.find('"', start);
    return end == std::string_view::npos ? std::string_view{} : json.substr(start, end - start);
}

std::string write_tally(call_tally& tally, const ledger_check& check, bool has_ledgers) {
    std::ostringstream line;
    line << "sent=" << tally.sent << " answered=" << tally.answered << " not_run=" << tally.not_run
         << " unknown=" << tally.unknown << " wrong=" << tally.wrong << " errors=" << tally.errors
         << " rejected=" << tally.rejected;
    if (has_ledgers) {
        line << " doubled=" << check.doubled << " lost=" << check.lost
             << " false_not_run=" << check.false_not_run << " ledgers_unread=" << check.unread;
    }
    for (const auto& [version, count] : tally.per_version) {
        line << " version." << escape_value(version) << "=" << count;
    }
    for (const auto& [status, count] : tally.per_status) {
        line << " status." << status << "=" << count;
    }
    for (const auto& [error, count] : tally.per_error) {
        line << " error." << escape_value(error) << "=" << count;
    }
    line << " p50_us=" << percentile_us(tally.latencies_us, 0.5)
         << " p99_us=" << percentile_us(tally.latencies_us, 0.99)
         << " max_us=" << percentile_us(tally.latencies_us, 1)
         << " most_in_flight=" << tally.most_in_flight;
    return line.str();
}

} // namespace cyclamenhatch::standin
