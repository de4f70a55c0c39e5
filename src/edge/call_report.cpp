#include "edge/call_path.h"

#include "clock/process_clock.h"
#include "edge/call_path_state.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

/// Endpoints listed in the dump; the rest are only counted.
constexpr std::size_t max_dumped_endpoints = 200;
constexpr std::size_t max_dumped_calls = 50;
constexpr double us_per_s = 1e6;

std::int64_t to_number(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

document dump_load(const node_id& node, const call::endpoint_load& load, instant now) {
    return document::table{{"node", node.value},
                           {"in_flight", std::int64_t{load.in_flight}},
                           {"latency_us", std::int64_t{load.latency.count()}},
                           {"pace_percent", std::int64_t{load.pace.percent}},
                           {"slowness", load.slowness},
                           {"way_us", std::int64_t{load.way.count()}},
                           {"failure_share", load.failure_share},
                           {"is_ejected", call::is_ejected(load, now)},
                           {"ejections", std::int64_t{load.ejections}},
                           {"reported_in_flight", std::int64_t{load.reported.in_flight}},
                           {"calls_per_s", load.notice.calls_per_s},
                           {"is_leaving", load.notice.is_leaving},
                           {"is_cold", call::is_cold(load, now)},
                           {"reported_queue", std::int64_t{load.reported.queue}},
                           {"reported_slots", std::int64_t{load.reported.slots}}};
}

document dump_budget(const service_id& service, const call::retry_budget& budget) {
    return document::table{{"service", service.value},
                           {"first_attempts", to_number(budget.first_attempts)},
                           {"retries", to_number(budget.retries)},
                           {"refused_retries", to_number(budget.refused_retries)}};
}

/// Workspaces listed in the dump and the metrics.
constexpr std::size_t max_listed_workspaces = 1000;

document dump_allowances(const allowance::entry_state& entry, instant now) {
    document::array items;
    for (const auto& [name, held] : entry.stocks) {
        if (items.size() == max_listed_workspaces) {
            break;
        }
        items.push_back(document::table{{"workspace", name.value},
                                        {"lent", std::int64_t{allowance::count_lent(held, now)}},
                                        {"waiting", std::int64_t{held.waiting}},
                                        {"admitted", to_number(held.counts.admitted)},
                                        {"waited", to_number(held.counts.waited)},
                                        {"fixed", to_number(held.counts.fixed)},
                                        {"refused", to_number(held.counts.refused)},
                                        {"refused_silent", to_number(held.counts.refused_silent)}});
    }
    return items;
}

document dump_counters(const entry_counters& counters) {
    return document::table{{"requests", to_number(counters.requests)},
                           {"answered", to_number(counters.answered)},
                           {"not_run", to_number(counters.not_run)},
                           {"unknown", to_number(counters.unknown)},
                           {"held", to_number(counters.held)},
                           {"broken_off", to_number(counters.broken_off)},
                           {"callers_gone", to_number(counters.callers_gone)},
                           {"attempts", to_number(counters.attempts)},
                           {"reattaches", to_number(counters.reattaches)},
                           {"dropped_messages", to_number(counters.dropped_messages)}};
}

document dump_entry(const entry_side& side) {
    const auto now = current_time();
    document::array endpoints;
    document::array budgets;
    const std::lock_guard guard(side.lock);
    for (const auto& [node, load] : side.loads) {
        if (endpoints.size() < max_dumped_endpoints) {
            endpoints.push_back(dump_load(node, load, now));
        }
    }
    for (const auto& [service, budget] : side.budgets) {
        budgets.push_back(dump_budget(service, budget));
    }
    return document::table{{"in_flight", to_number(side.flows.size())},
                           {"known_endpoints", to_number(side.loads.size())},
                           {"counters", dump_counters(side.counters)},
                           {"endpoints", std::move(endpoints)},
                           {"allowances", dump_allowances(side.allowances, now)},
                           {"retry_budgets", std::move(budgets)}};
}

document dump_refusals(const call::gate_counters& counters) {
    document::table refused;
    for (std::size_t i = 0; i < counters.refused.size(); ++i) {
        const auto* name = msg::EnumNamerefusal_reason(static_cast<msg::refusal_reason>(i));
        refused.push_back({name, to_number(counters.refused.at(i))});
    }
    return refused;
}

document dump_flows(const gate_side& side, instant now) {
    document::array calls;
    for (const auto& [call, flow] : side.flows) {
        if (calls.size() >= max_dumped_calls) {
            break;
        }
        calls.push_back(
            document::table{{"waiter", call::waiter_of(side.gate, call).value},
                            {"route", flow->request.route},
                            {"is_running", flow->exchange != nullptr},
                            {"age_us", std::int64_t{(now - flow->received_at).count()}},
                            {"time_left_us", std::int64_t{(flow->deadline - now).count()}}});
    }
    return calls;
}

document dump_gate(const gate_side& side) {
    const std::lock_guard guard(side.lock);
    const auto& gate = side.gate;
    const auto now = current_time();
    const auto& counters = gate.counters;
    return document::table{{"service", gate.service.value},
                           {"version", gate.version.value},
                           {"upstream", msg::EnumNameupstream_state(gate.upstream)},
                           {"is_draining", gate.is_draining},
                           {"is_upstream_leaving", gate.is_upstream_leaving},
                           {"calls_per_s", gate.rate.calls_per_s.value_or(0)},
                           {"cold_ms", std::int64_t{cold_left(gate.warm, now).count()}},
                           {"cold_reason", std::string(call::name_of(gate.warm.reason))},
                           {"slots", std::int64_t{gate.limit.slots}},
                           {"limit", std::int64_t{call::current_limit(gate.limit)}},
                           {"running", to_number(gate.running.size())},
                           {"queued", to_number(gate.queue.size)},
                           {"baseline_us", gate.limit.baseline_us},
                           {"latency_us", gate.limit.latency_us},
                           {"remembered_calls", to_number(gate.memory.calls.size())},
                           {"remembered_bytes", to_number(gate.memory.answer_bytes)},
                           {"tombstones", to_number(gate.memory.tombstones)},
                           {"upstream_crashes", to_number(side.crash_count)},
                           {"kept_connections", to_number(count_idle(*side.client))},
                           {"opened", to_number(counters.opened)},
                           {"dispatched", to_number(counters.dispatched)},
                           {"answered", to_number(counters.answered)},
                           {"duplicates", to_number(counters.duplicates)},
                           {"reattached", to_number(counters.reattached)},
                           {"cancelled", to_number(counters.cancelled)},
                           {"refused", dump_refusals(counters)},
                           {"calls", dump_flows(side, now)}};
}

double slot_seconds(std::uint64_t slot_us) {
    return static_cast<double>(slot_us) / us_per_s;
}

void add_line(std::string& out, std::string_view name, std::string_view labels,
              const std::string& value) {
    out += "cyclamenhatch_";
    out += name;
    if (!labels.empty()) {
        out += '{';
        out += labels;
        out += '}';
    }
    out += ' ' + value + '\n';
}

void add_counter(std::string& out, std::string_view name, std::uint64_t value) {
    out += "# TYPE cyclamenhatch_" + std::string(name) + " counter\n";
    add_line(out, name, {}, std::to_string(value));
}

void add_gauge(std::string& out, std::string_view name, std::uint64_t value) {
    out += "# TYPE cyclamenhatch_" + std::string(name) + " gauge\n";
    add_line(out, name, {}, std::to_string(value));
}

void add_entry_metrics(std::string& out, const entry_side& side) {
    const auto& counters = side.counters;
    add_counter(out, "calls_total", counters.requests);
    add_counter(out, "calls_answered_total", counters.answered);
    add_counter(out, "calls_not_run_total", counters.not_run);
    add_counter(out, "calls_unknown_total", counters.unknown);
    add_counter(out, "calls_held_total", counters.held);
    add_counter(out, "calls_broken_off_total", counters.broken_off);
    add_counter(out, "call_answer_length_mismatches_total", counters.length_mismatches);
    add_counter(out, "callers_gone_total", counters.callers_gone);
    add_counter(out, "call_attempts_total", counters.attempts);
    add_counter(out, "call_reattaches_total", counters.reattaches);
    add_counter(out, "call_server_errors_retried_total", counters.server_errors_retried);
    add_counter(out, "call_messages_dropped_total", counters.dropped_messages);
    add_gauge(out, "entry_calls_in_flight", count_in_flight(side));
    const std::lock_guard guard(side.lock);
    out += "# TYPE cyclamenhatch_retries_total counter\n";
    for (const auto& [service, budget] : side.budgets) {
        add_line(out, "retries_total", "service=\"" + service.value + "\"",
                 std::to_string(budget.retries));
    }
}

void add_allowance_metrics(std::string& out, const entry_side& side) {
    const std::lock_guard guard(side.lock);
    out += "# TYPE cyclamenhatch_allowance_calls_total counter\n";
    std::size_t listed = 0;
    for (const auto& [name, held] : side.allowances.stocks) {
        if (++listed > max_listed_workspaces) {
            break;
        }
        const auto& counts = held.counts;
        const std::array<std::pair<std::string_view, std::uint64_t>, 4> outcomes{
            {{"admitted", counts.admitted - counts.fixed},
             {"admitted_fixed", counts.fixed},
             {"refused", counts.refused - counts.refused_silent},
             {"refused_silent", counts.refused_silent}}};
        for (const auto& [outcome, value] : outcomes) {
            add_line(out, "allowance_calls_total",
                     "workspace=\"" + name.value + "\",outcome=\"" + std::string(outcome) + "\"",
                     std::to_string(value));
        }
    }
}

void add_usage_metrics(std::string& out, const call::gate_state& gate) {
    out += "# TYPE cyclamenhatch_owner_slot_seconds_total counter\n";
    for (const auto& [owner, share] : gate.shares.owners) {
        const std::array<std::pair<std::string_view, std::uint64_t>, 4> kinds{
            {{"reserved", share.usage.reserved},
             {"used", share.usage.used},
             {"lent", share.usage.lent},
             {"borrowed", share.usage.borrowed}}};
        for (const auto& [kind, value] : kinds) {
            const auto labels = "owner=\"" + owner.value + "\",kind=\"" + std::string(kind) + "\"";
            add_line(out, "owner_slot_seconds_total", labels, std::to_string(slot_seconds(value)));
        }
    }
}

void add_gate_metrics(std::string& out, const gate_side& side) {
    const std::lock_guard guard(side.lock);
    const auto& gate = side.gate;
    add_gauge(out, "gate_slots", gate.limit.slots);
    add_gauge(out, "gate_limit", call::current_limit(gate.limit));
    add_gauge(out, "gate_running", gate.running.size());
    out += "# TYPE cyclamenhatch_gate_rate_limit gauge\n";
    add_line(out, "gate_rate_limit", {}, std::to_string(gate.rate.calls_per_s.value_or(0)));
    add_gauge(out, "gate_cold_ms",
              static_cast<std::uint64_t>(cold_left(gate.warm, current_time()).count()));
    add_gauge(out, "gate_queued", gate.queue.size);
    add_gauge(out, "gate_remembered_bytes", gate.memory.answer_bytes);
    add_counter(out, "gate_dispatched_total", gate.counters.dispatched);
    add_counter(out, "gate_duplicates_total", gate.counters.duplicates);
    add_counter(out, "gate_reattached_total", gate.counters.reattached);
    add_counter(out, "gate_upstream_crashes_total", side.crash_count);
    add_counter(out, "gate_answer_length_mismatches_total", side.length_mismatches);
    out += "# TYPE cyclamenhatch_gate_refused_total counter\n";
    for (std::size_t i = 0; i < gate.counters.refused.size(); ++i) {
        const auto* name = msg::EnumNamerefusal_reason(static_cast<msg::refusal_reason>(i));
        add_line(out, "gate_refused_total", "reason=\"" + std::string(name) + "\"",
                 std::to_string(gate.counters.refused.at(i)));
    }
    add_usage_metrics(out, gate);
}

} // namespace

document dump(const call_path& path) {
    document::table latencies;
    for (std::size_t i = 0; i < segment_count; ++i) {
        const auto part = static_cast<segment>(i);
        latencies.push_back(
            {std::string(segment_name(part)),
             document::table{
                 {"count", to_number(path.histograms.count(part))},
                 {"p50_us", std::int64_t{path.histograms.quantile(part, 0.5).count()}},
                 {"p99_us", std::int64_t{path.histograms.quantile(part, 0.99).count()}}}});
    }
    return document::table{{"connections", to_number(count_connections(*path.listener))},
                           {"broken_requests", to_number(path.request_faults[0])},
                           {"headers_too_large", to_number(path.request_faults[1])},
                           {"bodies_too_large", to_number(path.request_faults[2])},
                           {"entry", dump_entry(path.entry)},
                           {"gate", dump_gate(path.gate)},
                           {"latencies", std::move(latencies)}};
}

document owner_usage(const call_path& path) {
    document::array owners;
    const std::lock_guard guard(path.gate.lock);
    for (const auto& [owner, share] : path.gate.gate.shares.owners) {
        owners.push_back(
            document::table{{"owner", owner.value},
                            {"reserved_slots", std::int64_t{share.reserved_slots}},
                            {"running", std::int64_t{share.running}},
                            {"queued", std::int64_t{share.queued}},
                            {"calls", to_number(share.usage.calls)},
                            {"reserved_slot_seconds", slot_seconds(share.usage.reserved)},
                            {"used_slot_seconds", slot_seconds(share.usage.used)},
                            {"lent_slot_seconds", slot_seconds(share.usage.lent)},
                            {"borrowed_slot_seconds", slot_seconds(share.usage.borrowed)}});
    }
    return document::table{{"owners", std::move(owners)}};
}

std::string metrics_text(const call_path& path) {
    std::string out;
    add_entry_metrics(out, path.entry);
    add_allowance_metrics(out, path.entry);
    add_gate_metrics(out, path.gate);
    add_counter(out, "requests_broken_total", path.request_faults[0]);
    add_counter(out, "requests_header_too_large_total", path.request_faults[1]);
    add_counter(out, "requests_body_too_large_total", path.request_faults[2]);
    add_gauge(out, "caller_connections", count_connections(*path.listener));
    out += path.histograms.to_prometheus("cyclamenhatch_call_segment_seconds");
    return out;
}

} // namespace cyclamenhatch::edge
