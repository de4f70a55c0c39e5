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
    const auto place = latencies.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(latencies.begin(), place, latencies.end());
    return *place;
}

std::string as_value(std::string text) {
    std::replace_if(
        text.begin(), text.end(), [](char each) { return each == ' ' || each == '='; }, '_');
    return text;
}

} // namespace

ledger_check check_ledgers(const call_tally& tally,
                           const std::unordered_map<std::string, std::uint64_t>& runs_by_key) {
    ledger_check check;
    for (const auto& [key, end] : tally.ends) {
        const auto found = runs_by_key.find(key);
        const std::uint64_t runs = found == runs_by_key.end() ? 0 : found->second;
        check.doubled += runs > 1 ? 1 : 0;
        check.lost += end == call_end::answered && runs == 0 ? 1 : 0;
        check.false_not_run += end == call_end::not_run && runs > 0 ? 1 : 0;
    }
    return check;
}

std::string_view find_text(std::string_view json, std::string_view key) {
    const std::string quoted = "\"" + std::string(key) + "\":\"";
    const auto at = json.find(quoted);
    if (at == std::string_view::npos) {
        return {};
    }
    const auto start = at + quoted.size();
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
        line << " version." << as_value(version) << "=" << count;
    }
    for (const auto& [status, count] : tally.per_status) {
        line << " status." << status << "=" << count;
    }
    for (const auto& [error, count] : tally.per_error) {
        line << " error." << as_value(error) << "=" << count;
    }
    line << " p50_us=" << percentile_us(tally.latencies_us, 0.5)
         << " p99_us=" << percentile_us(tally.latencies_us, 0.99)
         << " max_us=" << percentile_us(tally.latencies_us, 1)
         << " most_in_flight=" << tally.most_in_flight;
    return line.str();
}

} // namespace cyclamenhatch::standin
