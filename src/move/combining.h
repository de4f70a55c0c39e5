#pragma once

#include "model/time.h"
#include "move/reports.h"

#include <string>

/// Combines the reports of a group of entries into one, so that a controller of a large fleet gets
/// tens of reports per interval and not thousands.
namespace cyclamenhatch::moves {

struct combined_group {
    collection collected;
    /// Sum of what was taken over, limits applied.
    std::map<route_id, score_table> scores;
    instant next_report;
};

/// One report that stands for the whole group; `group` is its source.
[[nodiscard]] report combine(combined_group& self, const attempt_key& key, const std::string& group,
                             instant now);

/// Whether a report's source is a group; names of nodes hold no slash.
[[nodiscard]] bool is_group(const std::string& source);

} // namespace cyclamenhatch::moves
