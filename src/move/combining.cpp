#include "move/combining.h"

namespace cyclamenhatch::moves {

report combine(combined_group& self, const attempt_key& key, const std::string& group,
               instant now) {
    for (const auto& [route, step] : take_steps(self.collected)) {
        score_table& sum = self.scores[route];
        for (std::size_t with = 0; with < reference_count; ++with) {
            for (std::size_t of = 0; of < measure_count; ++of) {
                for (std::size_t i = 0; i < effect_count; ++i) {
                    sum[with][of][i] += step.all[with][of][i];
                }
            }
        }
    }
    report made{.key = key,
                .source = group,
                .sequence = static_cast<std::uint64_t>(to_unix_ms(now)),
                .sources = count_sources(self.collected),
                .begun = from_unix_ms(to_unix_ms(self.collected.begun)),
                .routes = sum_totals(self.collected)};
    for (auto& [route, totals] : made.routes) {
        totals.scores = self.scores[route];
    }
    return made;
}

bool is_group(const std::string& source) {
    return source.find('/') != std::string::npos;
}

} // namespace cyclamenhatch::moves
