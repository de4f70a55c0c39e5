#pragma once

#include "model/time.h"
#include "move/reports.h"

#include <string>

/// Combines the reports of a group of entries into one, so that the controller of a large fleet
/// receives tens of reports per interval instead of thousands.
namespace cyclamenhatch::moves {

struct combined_group {
    collection collected;
    /// Sum of the scores taken from the members, after limits.
    std::map<route_id, score_table> scores;
    instant next_report;
};

/// One report for the whole group; `group` is its source.
[[nodiscard]] report combine(combined_group& self, const attempt_key& key, const std::string& group,
                             instant now);

/// Whether a report's source is a group: group names contain a slash, node names do not.
[[nodiscard]] bool is_group(const std::string& source);

} // namespace cyclamenhatch::moves
