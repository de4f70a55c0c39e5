#include "node/quarantine_document.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cyclamenhatch::node {
namespace {

document number(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

document describe_request(const request_digest& digest, const quarantine::record& known,
                          const node_id& self, instant now) {
    const auto until = quarantine::release_time(known, digest, self);
    return document::table{{"digest", to_text(digest)},
                           {"service", known.service.value},
                           {"route", known.route.value},
                           {"crashes", number(quarantine::count_crashes(known))},
                           {"last_crash", format_rfc3339(known.last_crash)},
                           {"is_held", now < until},
                           {"held_until", now < until ? format_rfc3339(until) : ""}};
}

} // namespace

document describe_quarantine(const quarantine::state& known, instant now,
                             std::size_t max_requests) {
    std::vector<std::pair<std::size_t, const quarantine::record_table::value_type*>> suspects;
    for (const auto& entry : known.records) {
        if (const auto crashes = quarantine::count_crashes(entry.second); crashes > 0) {
            suspects.emplace_back(crashes, &entry);
        }
    }
    const auto total = suspects.size();
    std::stable_sort(suspects.begin(), suspects.end(),
                     [](const auto& left, const auto& right) { return left.first > right.first; });
    suspects.resize(std::min(total, max_requests));
    document::array requests;
    for (const auto& [crashes, entry] : suspects) {
        requests.push_back(describe_request(entry->first, entry->second, known.self, now));
    }
    return document::table{{"suspects", number(total)},
                           {"held", number(quarantine::count_held(known, now))},
                           {"crashes_witnessed", number(known.counts.crashes)},
                           {"holds", number(known.counts.holds)},
                           {"cleared", number(known.counts.cleared)},
                           {"requests", std::move(requests)}};
}

} // namespace cyclamenhatch::node
