#include "control/steps.h"

#include "membership/membership.h"

#include <algorithm>

namespace cyclamenhatch::control {
namespace {

/// Whether any member that is alive belongs to the data centre.
bool has_members(const state& self, const data_centre_id& data_centre) {
    const auto live = membership::live_records(self.members);
    return std::any_of(live.begin(), live.end(), [&](const msg::member_record_msg* record) {
        return record->data_centre == data_centre.value;
    });
}

std::string version_text(const state& self) {
    return std::to_string(self.distribution.config->version.value);
}

void note_withdrawals(state& self, instant now, actions& out) {
    for (auto it = self.evacuated_since.begin(); it != self.evacuated_since.end();) {
        if (is_evacuated(*self.distribution.config, it->first)) {
            ++it;
            continue;
        }
        out.logs.push_back(
            {log_level::warning,
             "evacuation_withdrawn",
             {{"data_centre", it->first.value},
              {"version", version_text(self)},
              {"since", format_rfc3339(it->second)},
              {"for_ms",
               std::to_string(
                   std::chrono::duration_cast<milliseconds>(now - it->second).count())}}});
        it = self.evacuated_since.erase(it);
    }
}

} // namespace

void note_evacuations(state& self, instant now, actions& out) {
    const auto& config = *self.distribution.config;
    note_withdrawals(self, now, out);
    if (!config.fleet) {
        return;
    }
    for (const auto& data_centre : config.fleet->content.evacuated) {
        if (!self.evacuated_since.emplace(data_centre, now).second) {
            continue;
        }
        out.logs.push_back({log_level::warning,
                            "evacuation_begun",
                            {{"data_centre", data_centre.value},
                             {"version", version_text(self)},
                             {"has_members", has_members(self, data_centre) ? "true" : "false"}}});
    }
}

} // namespace cyclamenhatch::control
