#include "call_ledger.h"

#include "document/document.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::standin {

void start_run(call_ledger& ledger, const std::string& key) {
    ++ledger.runs;
    ++ledger.in_flight;
    ledger.most_in_flight = std::max(ledger.most_in_flight, ledger.in_flight);
    if (key.empty()) {
        ++ledger.keyless;
    } else if (++ledger.runs_by_key[key] == 2) {
        ++ledger.doubled;
    }
}

std::string write_ledger(const call_ledger& ledger, bool is_full) {
    const auto number = [](std::uint64_t value) { return static_cast<std::int64_t>(value); };
    document::table body{{"runs", number(ledger.runs)},
                         {"distinct", number(ledger.runs_by_key.size())},
                         {"doubled", number(ledger.doubled)},
                         {"keyless", number(ledger.keyless)},
                         {"cancelled", number(ledger.cancelled)},
                         {"shed", number(ledger.shed)},
                         {"runs_draining", number(ledger.runs_draining)},
                         {"in_flight", number(ledger.in_flight)},
                         {"most_in_flight", number(ledger.most_in_flight)}};
    if (is_full) {
        document::table keys;
        for (const auto& [key, runs] : ledger.runs_by_key) {
            keys.push_back({key, number(runs)});
        }
        body.push_back({"keys", std::move(keys)});
    }
    return write_json(std::move(body));
}

} // namespace cyclamenhatch::standin
