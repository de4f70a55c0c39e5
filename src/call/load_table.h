#pragma once

#include "call/routing_view.h"
#include "call/upstream_pace.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

/// What an entry has seen of the endpoints that it calls, and the ejection of failing ones.
namespace cyclamenhatch::call {

/// Time for which a load report is used after it arrived.
inline constexpr microseconds report_lifetime{500'000};
/// Time for which a gate's reported wait is used. It is short, since queues change with each
/// answer; using the report prevents a series of calls that would all be refused.
inline constexpr microseconds wait_lifetime{60'000};
/// Time over which what an upstream sheds loses most of its weight, so that it is tried again.
inline constexpr microseconds shed_lifetime{500'000};
/// Time for which a stated rate counts in the choice of an endpoint. After it the endpoint gets
/// calls as if it had none, so that the entry learns whether it still states one; the gate keeps to
/// it.
inline constexpr microseconds rate_lifetime{5'000'000};
/// Time over which a newly ready endpoint's weight grows to its full size.
inline constexpr microseconds ramp_time{5'000'000};
/// Time for which an endpoint whose gate refused all calls is skipped. The gate's refusal overrides
/// a routing view that still shows the endpoint as ready.
inline constexpr microseconds closed_time{1'000'000};
/// Failures in a row that eject an endpoint.
inline constexpr std::uint32_t failures_to_eject = 5;
/// Share of failures, smoothed, that ejects an endpoint.
inline constexpr double failure_share_to_eject = 0.6;

/// Load that a gate reported with an answer or a refusal.
struct load_report {
    std::uint32_t in_flight = 0;
    std::uint32_t queue = 0;
    std::uint32_t slots = 0;
    /// Expected wait for a slot of another call of the same route.
    std::uint32_t wait_us = 0;
    /// How long work takes there now, in percent of the usual time.
    std::uint32_t pace_percent = usual_pace_percent;
};

/// What an upstream says about itself in its answers.
struct upstream_notice {
    /// Calls a second that it takes from all nodes together; 0 for no limit.
    double calls_per_s = 0;
    bool is_leaving = false;
    /// How long it stays cold; while it does, `calls_per_s` may be the rate of its service.
    milliseconds cold_left{0};
};

/// How one attempt ended, as the entry saw it.
enum class attempt_end {
    ok,
    /// The upstream failed: a server error, a broken connection or no answer in time.
    failed,
    /// The gate refused before dispatch; says nothing about the upstream's health.
    refused,
    /// The caller went away; says nothing about the upstream's health.
    cancelled,
};

/// Wait that a gate reported for calls of one route.
struct reported_wait {
    microseconds wait{0};
    instant reported_at{};
};

struct endpoint_load {
    /// Attempts of this entry in flight.
    std::uint32_t in_flight = 0;
    /// Smoothed latency of answers; zero before the first one.
    microseconds latency{0};
    /// Smoothed share of failed attempts, 0 to 1.
    double failure_share = 0;
    /// Smoothed share of calls that the upstream turned away though its gate had a slot for them;
    /// as of `shed_at`.
    double shed_share = 0;
    instant shed_at{};
    std::uint32_t failures_in_row = 0;
    load_report reported;
    instant reported_at{};
    std::map<route_id, reported_wait> waits;
    /// The upstream's pace, by the gate's last report.
    upstream_pace pace;
    /// When a pace other than the usual one was last reported.
    std::optional<instant> uneven_at;
    /// Run times here at the usual pace, as a multiple of those at all endpoints; smoothed.
    double slowness = 1;
    /// Smoothed time that calls spend outside of the upstream; zero before the first answer.
    microseconds way{0};
    /// Instance id of the gate's process, from its last report; 0 before the first one.
    std::uint64_t gate_instance = 0;
    std::uint64_t incarnation = 0;
    /// The run of the upstream that the notice is about.
    std::string instance;
    std::uint64_t started_ms = 0;
    upstream_notice notice;
    instant noted_at{};
    /// Until when the upstream is cold, by its notice.
    instant cold_until{};
    /// When a cold upstream may be asked again; its turn among all entries.
    instant next_turn{};
    /// Nothing is known of this record of the endpoint but the record itself.
    bool is_unasked = true;
    instant ready_since{};
    instant used_at{};
    /// End of the ejection. After it, one call at a time is sent as a probe, and the field is reset
    /// when a probe succeeds.
    std::optional<instant> ejected_until;
    std::uint32_t ejections = 0;
    bool is_probing = false;
    /// Set by a refusal that holds for all calls, such as that of a draining gate.
    instant closed_until{};
};

/// Keyed by node. Not thread safe: the caller serialises access.
using load_table = std::unordered_map<node_id, endpoint_load>;

/// Returns the load of an endpoint. It is created, or reset when the endpoint's incarnation has
/// changed; a reset keeps the number of attempts in flight, and what the upstream said about itself
/// while its run is the same.
endpoint_load& get_or_create_load(load_table& table, const endpoint& target, instant now);

void note_opened(endpoint_load& load, instant now);
/// Records the load that a gate reported with the end of a call of this route.
void note_report(endpoint_load& load, const route_id& route, const load_report& report,
                 std::uint64_t gate_instance, instant now);

/// Records what the upstream said about itself, as reported with the end of a call to this run of
/// it. That a run leaves is final. Reports about another run are ignored.
void note_upstream(endpoint_load& load, const std::string& instance, std::uint64_t started_ms,
                   const upstream_notice& notice, instant now);

/// Whether this run of the endpoint's upstream has said that it leaves.
[[nodiscard]] bool is_leaving(const endpoint_load& load, const endpoint& target);

/// Calls that the endpoint can run at once: its slots, or fewer while it states a rate.
[[nodiscard]] double usable_slots(const endpoint& target, const endpoint_load& load, instant now);

/// Records a refusal. One that holds for all calls closes the endpoint for `closed_time`: a gate
/// that refuses at once would otherwise look idle and attract all calls.
void note_refusal(endpoint_load& load, msg::refusal_reason reason, instant now);

/// Records that a cold upstream has no start before the end of this time.
void note_turn(endpoint_load& load, milliseconds wait, instant now);

/// Whether the endpoint is cold and this entry's turn hasn't come.
[[nodiscard]] bool must_wait_for_turn(const endpoint_load& load, instant now);

/// Whether the upstream is cold, by its notice.
[[nodiscard]] bool is_cold(const endpoint_load& load, instant now);

/// Records the end of an attempt. Ejects the endpoint when it failed too often and `may_eject`
/// allows it.
void note_ended(endpoint_load& load, attempt_end end, microseconds latency, bool may_eject,
                microseconds ejection, instant now);

/// Whether the endpoint may take no call: it is ejected, or its ejection has ended and a probe is
/// in flight.
[[nodiscard]] bool is_ejected(const endpoint_load& load, instant now);

/// Whether one more endpoint may be ejected without passing the cap. `endpoints` are those that
/// serve the same service and version.
[[nodiscard]] bool may_eject_one(const load_table& table, const std::vector<endpoint>& endpoints,
                                 const version_id& version, std::uint32_t max_ejected_percent);

/// Expected time until a call of the route that is sent now gets a slot, by the gate's last
/// report. Zero when there is no recent report, so that the endpoint is tried again.
[[nodiscard]] microseconds estimate_wait(const endpoint_load& load, const route_id& route,
                                         instant now);

/// Calls in flight at the endpoint: the entry's own, or more when a recent report says so.
[[nodiscard]] std::uint32_t estimate_in_flight(const endpoint_load& load, instant now);

/// Share of calls that the upstream is expected to turn away now, 0 to 1.
[[nodiscard]] double estimate_shed_share(const endpoint_load& load, instant now);

/// Forgets nodes that have no call in flight and were last used more than `after` ago.
void forget_idle(load_table& table, microseconds after, instant now);

} // namespace cyclamenhatch::call
