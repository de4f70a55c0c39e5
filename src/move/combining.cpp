#include "move/combining.h"

namespace cyclamenhatch::moves {

report combine(combined_group& self, const attempt_key& key, const std::string& group,
               instant now) {
    for (const auto& [route, step] : take_steps(self.collected)) {
        score_table& sum = self.scores[route];
        for (std::size_t reference_index = 0; reference_index < reference_count;
             ++reference_index) {
            for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
                for (std::size_t i = 0; i < effect_count; ++i) {
                    sum[reference_index][measure_index][i] +=
                        step.all[reference_index][measure_index][i];
                }
            }
        }
    }
    report combined{.key = key,
                    .source = group,
                    .sequence = static_cast<std::uint64_t>(to_unix_ms(now)),
                    .sources = count_sources(self.collected),
                    .begun = from_unix_ms(to_unix_ms(self.collected.begun)),
                    .routes = sum_totals(self.collected),
                    .cut_routes = count_cut(self.collected)};
    for (auto& [route, totals] : combined.routes) {
        totals.scores = self.scores[route];
    }
    return combined;
}

bool is_group(const std::string& source) {
    return source.find('/') != std::string::npos;
}

} // namespace cyclamenhatch::moves
