#include "call/drain_plan.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

/// How long before its end the node itself answers, so that the answers leave the host.
constexpr milliseconds max_answer_time{300};
/// How much earlier the upstreams are to end, so that their answers can be passed on.
constexpr milliseconds max_pass_time{200};
/// How long before the end of the grace time the process ends, in case it is late.
constexpr milliseconds max_spare_time{500};
/// Shares of a short grace time: these steps together take less than its last sixth.
constexpr int spare_divisor = 12;
constexpr int answer_divisor = 20;
constexpr int pass_divisor = 30;
/// The grace time for which the limits of gate and callers in the settings are meant.
constexpr milliseconds full_grace{6000};

milliseconds shrink(std::uint32_t setting_ms, milliseconds grace) {
    const milliseconds whole{setting_ms};
    return grace >= full_grace ? whole : whole * grace.count() / full_grace.count();
}

} // namespace

drain_plan plan_drain(const msg::call_settings_msg& settings) {
    const auto stated = parse_duration(settings.grace);
    const auto grace = stated ? std::chrono::duration_cast<milliseconds>(*stated)
                              : milliseconds{settings.drain_timeout_ms};
    drain_plan plan;
    plan.node_stops = stated ? grace - std::min(max_spare_time, grace / spare_divisor) : grace;
    plan.final_answers = plan.node_stops - std::min(max_answer_time, grace / answer_divisor);
    plan.runs_end = plan.final_answers - std::min(max_pass_time, grace / pass_divisor);
    plan.callers_end = std::min(shrink(settings.drain_linger_ms, grace), plan.runs_end);
    plan.gate_closes = std::min(shrink(settings.drain_gate_ms, grace), plan.callers_end);
    return plan;
}

} // namespace cyclamenhatch::call
