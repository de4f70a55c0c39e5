#include "move/plan.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

constexpr std::uint32_t growth_factor = 3;
/// Shares up to this grow by `growth_factor`; larger ones follow the fixed steps.
constexpr std::uint32_t growth_limit_permille = 300;
constexpr std::uint32_t upper_steps_permille[] = {600, 850};

/// The time reserved for a check at the full share is the available time divided by this, up to
/// `max_reserve`.
constexpr int reserve_divisor = 4;
constexpr seconds max_reserve{40};

} // namespace

std::vector<std::uint32_t> list_shares(std::uint32_t first_permille) {
    const std::uint32_t first = std::clamp(first_permille, 1U, full_share_permille);
    std::vector<std::uint32_t> shares{first};
    while (shares.back() * growth_factor <= growth_limit_permille) {
        shares.push_back(shares.back() * growth_factor);
    }
    for (const std::uint32_t step : upper_steps_permille) {
        if (shares.back() * 5 < step * 4) {
            shares.push_back(step);
        }
    }
    if (shares.back() < full_share_permille) {
        shares.push_back(full_share_permille);
    }
    return shares;
}

instant latest_bake_start(const move& planned) {
    return planned.deadline - planned.bake - closing_margin;
}

std::vector<stage> schedule_after(const move& planned, std::uint32_t permille, instant entered) {
    std::vector<stage> remaining;
    for (const std::uint32_t share : list_shares(planned.first_share_permille)) {
        if (share > permille) {
            remaining.push_back({.permille = share, .latest_start = entered});
        }
    }
    const auto available = std::max(latest_bake_start(planned) - entered, microseconds{0});
    const auto reserve = std::min<microseconds>(available / reserve_divisor, max_reserve);
    const auto span = available - reserve;
    const auto steps = static_cast<std::int64_t>(remaining.size());
    const std::int64_t first_step = permille == 0 ? 0 : 1;
    const std::int64_t divisions = std::max<std::int64_t>(steps - 1 + first_step, 1);
    for (std::int64_t i = 0; i < steps; ++i) {
        const std::int64_t position = steps == 1 ? divisions : i + first_step;
        remaining[static_cast<std::size_t>(i)].latest_start = entered + span * position / divisions;
    }
    return remaining;
}

result<plan> make_plan(const move& planned, instant now) {
    const instant begin = std::max(now, planned.start.value_or(now));
    const auto stages = schedule_after(planned, 0, begin);
    const instant bake_start = latest_bake_start(planned);
    const auto needed = min_stage_time * static_cast<std::int64_t>(stages.size() - 1);
    if (bake_start >= begin + needed) {
        return plan{.stages = stages, .bake_start = bake_start};
    }
    const instant earliest = begin + needed + planned.bake + closing_margin;
    return findings{{.path = "deadline",
                     .problem = "the deadline " + format_rfc3339(planned.deadline) +
                                " leaves no time for " + std::to_string(stages.size()) +
                                " stages and a bake of " + std::to_string(planned.bake.count()) +
                                " s",
                     .remedy = "set it to " + format_rfc3339(earliest) +
                               " or later, shorten bake_s or raise first_share_permille"}};
}

} // namespace cyclamenhatch::moves
