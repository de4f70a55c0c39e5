#include "edge/gate_warm_up.h"

#include <string>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

/// Nothing while the configuration doesn't hold the service.
std::optional<call::warm_up_terms> find_terms(const gate_side& side) {
    if (!side.applied_config) {
        return std::nullopt;
    }
    const auto it = side.applied_config->sections.find(side.gate.service);
    if (it == side.applied_config->sections.end()) {
        return std::nullopt;
    }
    const auto& configured = it->second->content.service;
    return call::warm_up_terms{.calls_per_s = configured.warm_up_calls_per_s,
                               .longest = configured.warm_up_time};
}

std::uint64_t count_refused(const gate_side& side) {
    return side.gate.counters.refused.at(static_cast<std::size_t>(msg::refusal_reason::warming_up));
}

std::string rate_text(const gate_side& side, instant now) {
    const auto rate = call::calls_per_s(side.gate.warm, now);
    return rate ? std::to_string(*rate) : "unknown";
}

} // namespace

call::gate_actions apply_warm_up_terms(gate_side& side, instant now) {
    return call::on_warm_up_terms(side.gate, find_terms(side), now);
}

void note_withdrawn_evacuation(gate_side& side, instant now) {
    call::note_doubt(side.gate.warm, call::cold_reason::evacuation_withdrawn, now);
}

std::optional<log_event> watch_cold(gate_side& side, instant now) {
    const bool is_cold = call::is_cold(side.gate.warm, now);
    if (std::exchange(side.is_cold_logged, is_cold) == is_cold) {
        return std::nullopt;
    }
    if (!is_cold) {
        return log_event{
            log_level::info,
            "upstream_warm",
            {{"instance", side.instance},
             {"refused", std::to_string(count_refused(side) - side.refused_before_cold)}}};
    }
    side.refused_before_cold = count_refused(side);
    return log_event{log_level::info,
                     "upstream_cold",
                     {{"instance", side.instance},
                      {"cold_ms", std::to_string(call::cold_left(side.gate.warm, now).count())},
                      {"calls_per_s", rate_text(side, now)},
                      {"reason", std::string(call::name_of(side.gate.warm.reason))}}};
}

void log_cold(const gate_side& side, const std::optional<log_event>& event) {
    if (event && side.log) {
        side.log(*event);
    }
}

} // namespace cyclamenhatch::edge
