#include "call/load_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenhatch::call {
namespace {

constexpr double smoothing = 0.2;
/// Part of one call that was turned away in the share of them.
constexpr double shed_smoothing = 0.4;
constexpr std::uint32_t max_backoff_doublings = 5;
constexpr double us_per_s = 1e6;
/// Lower bound for an upstream that states a rate, so that its cost stays finite.
constexpr double min_usable_slots = 0.05;

bool should_eject(const endpoint_load& load) {
    return load.failures_in_row >= failures_to_eject ||
           (load.failure_share >= failure_share_to_eject && load.failures_in_row > 1);
}

void eject(endpoint_load& load, microseconds ejection, instant now) {
    const auto doublings = std::min(load.ejections, max_backoff_doublings);
    load.ejected_until = now + ejection * (1U << doublings);
    ++load.ejections;
}

void note_ok(endpoint_load& load, microseconds latency) {
    load.failures_in_row = 0;
    load.failure_share *= 1 - smoothing;
    if (load.latency.count() == 0) {
        load.latency = latency;
        return;
    }
    const auto change = static_cast<double>((latency - load.latency).count()) * smoothing;
    load.latency += microseconds(static_cast<std::int64_t>(change));
}

bool is_same_run(const endpoint_load& load, const std::string& instance, std::uint64_t started_ms) {
    return load.instance == instance && load.started_ms == started_ms;
}

/// Forgets what another run of the upstream said about itself.
void follow_run(endpoint_load& load, const endpoint& target) {
    if (!is_same_run(load, target.instance, target.started_ms)) {
        load.notice = {};
        load.cold_until = {};
        load.next_turn = {};
        load.instance = target.instance;
        load.started_ms = target.started_ms;
    }
}

} // namespace

endpoint_load& get_or_create_load(load_table& table, const endpoint& target, instant now) {
    auto [it, is_new] = table.try_emplace(target.node);
    auto& load = it->second;
    if (is_new || load.incarnation != target.incarnation) {
        const auto in_flight = load.in_flight;
        const auto gate_instance = load.gate_instance;
        auto instance = std::move(load.instance);
        const auto started_ms = load.started_ms;
        const auto notice = load.notice;
        const auto noted_at = load.noted_at;
        const auto cold_until = load.cold_until;
        const auto next_turn = load.next_turn;
        load = {};
        load.in_flight = in_flight;
        load.gate_instance = gate_instance;
        load.instance = std::move(instance);
        load.started_ms = started_ms;
        load.notice = notice;
        load.noted_at = noted_at;
        load.cold_until = cold_until;
        load.next_turn = next_turn;
        load.incarnation = target.incarnation;
        load.ready_since = now;
        load.used_at = now;
    }
    follow_run(load, target);
    return load;
}

void note_opened(endpoint_load& load, instant now) {
    ++load.in_flight;
    load.used_at = now;
    if (load.ejected_until) {
        load.is_probing = true;
    }
}

void note_report(endpoint_load& load, const route_id& route, const load_report& report,
                 std::uint64_t gate_instance, instant now) {
    std::erase_if(load.waits, [now](const auto& entry) {
        return now - entry.second.reported_at > wait_lifetime;
    });
    if (report.wait_us > 0) {
        load.waits[route] = {microseconds(report.wait_us), now};
    } else {
        load.waits.erase(route);
    }
    load.pace = make_pace(report.pace_percent, now);
    if (load.pace.percent != usual_pace_percent) {
        load.uneven_at = now;
    }
    load.reported = report;
    load.reported_at = now;
    load.gate_instance = gate_instance;
}

void note_upstream(endpoint_load& load, const std::string& instance, std::uint64_t started_ms,
                   const upstream_notice& notice, instant now) {
    if (!is_same_run(load, instance, started_ms)) {
        return;
    }
    // Without an instance id a new run could not be told from the one that left; then the gate
    // alone refuses.
    const bool is_leaving = load.notice.is_leaving || (notice.is_leaving && !instance.empty());
    load.notice = {
        .calls_per_s = notice.calls_per_s, .is_leaving = is_leaving, .cold_left = notice.cold_left};
    load.noted_at = now;
    load.cold_until = now + notice.cold_left;
    load.is_unasked = false;
}

bool is_leaving(const endpoint_load& load, const endpoint& target) {
    return load.notice.is_leaving && is_same_run(load, target.instance, target.started_ms);
}

double usable_slots(const endpoint& target, const endpoint_load& load, instant now) {
    const auto slots = std::max(1.0, static_cast<double>(target.slots));
    // The rate of a cold upstream ends with its warm-up.
    const bool is_over = load.notice.cold_left.count() > 0 && !is_cold(load, now);
    const bool is_limited =
        load.notice.calls_per_s > 0 && now - load.noted_at <= rate_lifetime && !is_over;
    if (!is_limited || load.latency.count() == 0) {
        return slots;
    }
    const auto latency_s = static_cast<double>(load.latency.count()) / us_per_s;
    return std::clamp(load.notice.calls_per_s * latency_s, min_usable_slots, slots);
}

void note_refusal(endpoint_load& load, msg::refusal_reason reason, instant now) {
    using msg::refusal_reason;
    const bool is_closed =
        reason == refusal_reason::draining || reason == refusal_reason::no_endpoint ||
        reason == refusal_reason::wrong_version || reason == refusal_reason::upstream_unreachable ||
        reason == refusal_reason::evacuated;
    if (is_closed) {
        load.closed_until = now + closed_time;
    }
    if (reason == refusal_reason::upstream_refused) {
        const auto share = estimate_shed_share(load, now);
        load.shed_share = share + (1 - share) * shed_smoothing;
        load.shed_at = now;
    }
}

void note_turn(endpoint_load& load, milliseconds wait, instant now) {
    load.next_turn = now + wait;
}

bool must_wait_for_turn(const endpoint_load& load, instant now) {
    return now < load.next_turn && (load.is_unasked || is_cold(load, now));
}

bool is_cold(const endpoint_load& load, instant now) {
    return now < load.cold_until;
}

void note_ended(endpoint_load& load, attempt_end end, microseconds latency, bool may_eject,
                microseconds ejection, instant now) {
    load.in_flight -= load.in_flight > 0 ? 1 : 0;
    const bool was_probe = std::exchange(load.is_probing, false);
    if (end == attempt_end::ok) {
        note_ok(load, latency);
        if (was_probe) {
            load.ejected_until.reset();
            load.failure_share = 0;
            load.ready_since = now;
        } else if (!load.ejected_until) {
            load.ejections = 0;
        }
        return;
    }
    if (end != attempt_end::failed) {
        return;
    }
    ++load.failures_in_row;
    load.failure_share += (1 - load.failure_share) * smoothing;
    if (was_probe || (!load.ejected_until && may_eject && should_eject(load))) {
        eject(load, ejection, now);
    }
}

bool is_ejected(const endpoint_load& load, instant now) {
    if (!load.ejected_until) {
        return false;
    }
    return now < *load.ejected_until || load.is_probing;
}

bool may_eject_one(const load_table& table, const std::vector<endpoint>& endpoints,
                   const version_id& version, std::uint32_t max_ejected_percent) {
    std::size_t all = 0;
    std::size_t ejected = 0;
    for (const auto& target : endpoints) {
        if (target.version != version || !takes_calls(target)) {
            continue;
        }
        ++all;
        const auto it = table.find(target.node);
        ejected += it != table.end() && it->second.ejected_until ? 1 : 0;
    }
    return (ejected + 1) * 100 <= all * max_ejected_percent;
}

microseconds estimate_wait(const endpoint_load& load, const route_id& route, instant now) {
    const auto reported = load.waits.find(route);
    if (reported == load.waits.end()) {
        return microseconds{0};
    }
    const auto age = now - reported->second.reported_at;
    const auto wait = reported->second.wait;
    return age > wait_lifetime || age >= wait ? microseconds{0} : wait - age;
}

std::uint32_t estimate_in_flight(const endpoint_load& load, instant now) {
    if (now - load.reported_at > report_lifetime) {
        return load.in_flight;
    }
    return std::max(load.in_flight, load.reported.in_flight + load.reported.queue);
}

double estimate_shed_share(const endpoint_load& load, instant now) {
    if (load.shed_share == 0) {
        return 0;
    }
    const auto age = static_cast<double>((now - load.shed_at).count());
    return load.shed_share * std::exp(-age / static_cast<double>(shed_lifetime.count()));
}

void forget_idle(load_table& table, microseconds after, instant now) {
    std::erase_if(table, [&](const auto& entry) {
        return entry.second.in_flight == 0 && now - entry.second.used_at > after;
    });
}

} // namespace cyclamenhatch::call
