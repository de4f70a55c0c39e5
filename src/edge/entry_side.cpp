#include "edge/entry_side.h"

#include "call/call_key.h"
#include "call/held_request.h"
#include "clock/process_clock.h"
#include "edge/call_headers.h"
#include "edge/entry_access.h"
#include "edge/entry_allowance.h"
#include "edge/entry_attempts.h"
#include "edge/entry_quarantine.h"
#include "edge/entry_steps.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

constexpr milliseconds short_retry_delay{300};
constexpr microseconds cleanup_interval{10'000'000};
/// The load record of an endpoint is dropped when no call went there for this long.
constexpr microseconds idle_load_time{600'000'000};

using lock_type = state_lock;

local_answer make_local_refusal(const entry_side& side, msg::refusal_reason reason,
                                milliseconds retry_after) {
    return make_failure(side.names,
                        {.reason = reason, .retry_helps = true, .retry_after = retry_after});
}

std::string config_version_text(const entry_side& side) {
    const auto view = side.callbacks.view();
    return view->config ? std::to_string(view->config->version.value) : "none";
}

/// Answers a request without making an attempt.
void refuse_request(entry_side& side, const caller_exchange_ptr& exchange,
                    std::string_view request_id, local_answer answer,
                    const std::string& digest = {}) {
    ++side.counters.not_run;
    log_call(side, {log_level::info,
                    "call_refused",
                    {{"request", std::string(request_id)},
                     {"status", std::to_string(answer.head.status)},
                     {"config_version", config_version_text(side)},
                     {"reason", answer.reason},
                     {"digest", digest}}});
    start_answer(exchange, std::move(answer.head), {std::move(answer.body), true}, nullptr);
}

/// The owner that the request names, if any service has that owner; otherwise the service's.
std::string find_owner(const header_names& names, const snapshot& config,
                       const service& matched_service, const header_fields& headers) {
    const std::string requested(find_header(headers, names.owner));
    const bool is_known =
        !requested.empty() &&
        std::any_of(config.sections.begin(), config.sections.end(), [&](const auto& section) {
            return section.second->content.service.owner.value == requested;
        });
    return is_known ? requested : matched_service.owner.value;
}

/// The route of a call, and the workspace whose call it is; null when it is nobody's.
struct call_match {
    route_match route;
    const workspace* caller = nullptr;
};

/// The matching route and the workspace, or the answer that ends the request before any attempt.
/// Both come from the one snapshot in the view.
std::variant<local_answer, call_match> resolve_route(const entry_side& side,
                                                     const call::routing_view& view,
                                                     const request_head& head,
                                                     const call_limits& limits) {
    if (!view.is_ready || !view.config) {
        return make_local_refusal(side, msg::refusal_reason::no_endpoint, short_retry_delay);
    }
    if ((view.is_draining && !side.limits.lingers) || side.is_draining) {
        return make_local_refusal(side, msg::refusal_reason::draining, short_retry_delay);
    }
    if (limits.hops >= side.limits.max_hops) {
        return make_too_many_hops(side.names, side.limits.max_hops);
    }
    const auto match = find_route(*view.config, host_of(head.headers), path_of(head.target));
    if (match.matched_route == nullptr) {
        return make_local_refusal(side, msg::refusal_reason::no_route, milliseconds{0});
    }
    auto caller = resolve_caller(side.names, *view.config, *match.matched_route, head.headers);
    if (auto* refused = std::get_if<local_answer>(&caller)) {
        return std::move(*refused);
    }
    return call_match{match, std::get<const workspace*>(caller)};
}

/// Sets the parts of the call's state that depend on the route and the caller's limits.
void set_limits(const entry_side& side, entry_flow& flow, const route& matched,
                const call_limits& limits) {
    const auto timeout = std::min(matched.timeout, limits.time_left.value_or(milliseconds::max()));
    flow.state.deadline = flow.received_at + timeout;
    flow.state.is_idempotent = matched.idempotent;
    const auto max_attempts =
        matched.max_attempts > 0 ? matched.max_attempts : side.limits.max_attempts;
    // Only one node of a chain retries, so that retries do not multiply along the chain.
    flow.state.max_attempts = limits.attempts > 1 ? 1 : std::max(1U, max_attempts);
    if (matched.latency_objective.count() > 0) {
        flow.objective = flow.received_at + matched.latency_objective;
    }
    flow.request.priority = matched.priority;
    flow.request.idempotent = matched.idempotent;
}

/// The headers to send to the upstream, including those that the node sets itself.
wire_headers make_headers(const entry_side& side, const snapshot& config, const workspace* caller,
                          header_fields headers) {
    if (requires_access_key(config)) {
        drop_access_keys(side.names, headers);
    }
    auto out = to_wire(side.names, std::move(headers));
    add_header(out, side.names.caller_service, side.host_service);
    add_header(out, side.names.workspace, caller == nullptr ? std::string() : caller->name.value);
    return out;
}

entry_flow_ptr make_flow(entry_side& side, const call::routing_view& view,
                         const call_match& resolved, const call_limits& limits, request_head head,
                         body_piece first) {
    const auto& match = resolved.route;
    auto flow = std::make_shared<entry_flow>();
    flow->received_at = head.read_at;
    flow->route = match.matched_route->name;
    flow->request_id = side.names.request_id.empty()
                           ? std::string()
                           : std::string(find_header(head.headers, side.names.request_id));
    set_limits(side, *flow, *match.matched_route, limits);
    auto& request = flow->request;
    request.digest = call::make_request_key(compute_digest_of(side.names, head, first));
    request.route = match.matched_route->name.value;
    request.owner =
        find_owner(side.names, *view.config, match.matched_section->content.service, head.headers);
    request.method = std::move(head.method);
    request.target = std::move(head.target);
    request.hops = static_cast<std::uint8_t>(std::min(limits.hops + 1, 255U));
    request.attempt = static_cast<std::uint8_t>(std::min(limits.attempts, 255U));
    request.headers = make_headers(side, *view.config, resolved.caller, std::move(head.headers));
    if (resolved.caller != nullptr) {
        request.workspace = resolved.caller->name.value;
        request.priority = resolved.caller->priority.value_or(request.priority);
    }
    request.last = first.is_last;
    flow->upload.offset = first.bytes.size();
    flow->upload.is_ended = first.is_last;
    request.body = std::move(first.bytes);
    return flow;
}

/// Sets the service and the versions that the call goes to. Precondition: the lock is held.
void choose_destination(entry_side& side, const call::routing_view& view, const route_match& match,
                        std::optional<std::string_view> caller_key, entry_flow& flow) {
    flow.service = call::choose_service(*match.matched_route, side.random);
    flow.request.service = flow.service.value;
    const auto section = view.config->sections.find(flow.service);
    const auto& service = section == view.config->sections.end()
                              ? match.matched_section->content.service
                              : section->second->content.service;
    flow.versions = call::choose_version(view, service, caller_key, side.random);
}

/// The retry rules with this node's part of the slack: the retries that the fleet may make beyond
/// the stated percentage.
call::budget_rules budget_rules_of(const entry_side& side, const call::routing_view& view) {
    auto rules = side.limits.retries;
    rules.slack /= static_cast<double>(std::max<std::size_t>(1, view.live_nodes));
    return rules;
}

/// Records what the upstream of the current attempt says about itself. Precondition: the lock is
/// held and there is an attempt.
void note_upstream(entry_side& side, const entry_flow& flow, const call::upstream_notice& notice,
                   instant now) {
    const auto& target = flow.state.current->target;
    call::note_upstream(side.loads[target.node], target.instance, target.started_ms, notice, now);
}

/// Whether a call that arrives now is likely to end before this node stops. Precondition: the lock
/// is held.
bool may_end_in_time(const entry_side& side, const route_id& route, instant now) {
    if (!side.runs_end) {
        return true;
    }
    const auto times = side.answer_times.find(route);
    const auto longest =
        times == side.answer_times.end() ? microseconds{0} : call::longest_of(times->second);
    return now + longest < *side.runs_end;
}

/// Precondition: the lock is held and there is an attempt.
void record_times(entry_side& side, const entry_flow& flow, const msg::call_answer_msg& message,
                  instant now) {
    const auto time_at_gate = microseconds(message.gate_us) + microseconds(message.upstream_us);
    const auto& current = *flow.state.current;
    const auto way = std::max(microseconds{0}, now - current.opened_at - time_at_gate);
    constexpr unsigned first_error = 400;
    if (message.status < first_error) {
        call::note_answer_time(side.run_times, side.loads[current.target.node], flow.route,
                               {.run_time = microseconds(message.upstream_us), .way = way}, now);
    }
    side.histograms.record(segment::link, way);
    side.histograms.record(segment::whole, now - flow.received_at);
}

} // namespace

void on_request(entry_side& side, const caller_exchange_ptr& exchange, request_head head,
                body_piece first) {
    ++side.counters.requests;
    const auto view = side.callbacks.view();
    const auto limits = read_limits(side.names, head.headers);
    auto route_or_answer = resolve_route(side, *view, head, limits);
    if (auto* refused = std::get_if<local_answer>(&route_or_answer)) {
        const std::string id(find_header(head.headers, side.names.request_id));
        refuse_request(side, exchange, id, std::move(*refused));
        return;
    }
    const auto& resolved = std::get<call_match>(route_or_answer);
    const auto& match = resolved.route;
    const std::string key(find_header(head.headers, caller_key_header));
    const bool is_first = head.is_first_on_connection;
    const auto flow = make_flow(side, *view, resolved, limits, std::move(head), std::move(first));
    flow->exchange = exchange;
    const auto now = current_time();
    const bool has_parent = limits.time_left && side.runs_parent &&
                            side.runs_parent(flow->received_at + *limits.time_left);
    const auto digest = call::from_request_key(flow->request.digest.get());
    if (auto held = find_hold_answer(side.names, *view, digest, now)) {
        ++side.counters.held;
        refuse_request(side, exchange, flow->request_id, *std::move(held), to_text(digest));
        return;
    }
    lock_type guard(side.lock);
    if (!may_end_in_time(side, flow->route, now)) {
        guard.unlock();
        refuse_request(side, exchange, flow->request_id,
                       make_local_refusal(side, msg::refusal_reason::draining, short_retry_delay));
        return;
    }
    const bool is_inner = call::is_inner(side.origins, flow->route);
    if (is_inner) {
        flow->request.priority = 0;
    }
    // The time left of an inner call is its parent's, and tells nothing about earlier attempts.
    if (flow->objective && limits.time_left && !is_inner) {
        *flow->objective -= call::estimate_time_spent(side.stated_times, flow->route,
                                                      *limits.time_left, is_first, now);
    }
    const auto caller_key = key.empty() ? std::nullopt : std::optional<std::string_view>(key);
    choose_destination(side, *view, match, caller_key, *flow);
    call::note_origin(side.origins, flow->route, flow->service, has_parent, now);
    side.flows.emplace(exchange.get(), flow);
    side.retry_rules = budget_rules_of(side, *view);
    auto work = admit(side, *view, flow, now);
    guard.unlock();
    side.histograms.record(segment::entry, current_time() - flow->received_at);
    carry_out(side, std::move(work));
}

bool may_overlap(const entry_side& side, const request_head& head) {
    const auto view = side.callbacks.view();
    if (!view->config) {
        return false;
    }
    const auto match = find_route(*view->config, host_of(head.headers), path_of(head.target));
    return match.matched_route != nullptr && match.matched_route->idempotent;
}

void on_caller_gone(entry_side& side, const caller_exchange_ptr& exchange, disconnect_cause cause) {
    lock_type guard(side.lock);
    const auto it = side.flows.find(exchange.get());
    if (it == side.flows.end()) {
        return;
    }
    const auto flow = it->second;
    side.flows.erase(it);
    ++side.counters.callers_gone;
    const bool was_passed_on = flow->state.current || flow->state.arrivals > 0;
    const bool is_closed_here = cause != disconnect_cause::caller_left;
    if (flow->state.is_answering || (is_closed_here && was_passed_on)) {
        log_call(side, describe_cut(*flow, "call_cut_at_caller", name_of(cause)));
    }
    auto result = step(side, flow, call::caller_gone_event{});
    guard.unlock();
    perform(side, flow, std::move(result), nullptr);
}

void on_answer(entry_side& side, const node_id& sender, msg::call_answer_msg message) {
    lock_type guard(side.lock);
    const auto call = call::from_key(message.call.get());
    const auto flow = find_attempt(side, sender, call);
    if (!flow) {
        return;
    }
    if (flow->state.is_answering) {
        ++side.counters.dropped_messages;
        return;
    }
    const auto now = current_time();
    const call::load_report load{message.in_flight, message.queue, message.slots, message.wait_us,
                                 message.pace_percent};
    call::note_report(side.loads[sender], flow->route, load, message.gate_instance, now);
    note_upstream(side, *flow,
                  {message.calls_per_s, message.upstream_leaves, milliseconds(message.cold_ms)},
                  now);
    record_times(side, *flow, message, now);
    call::note(side.answer_times[flow->route], now - flow->received_at, now);
    flow->length = find_answer_length(message.status, flow->request.method, message.headers);
    if (is_mismatch(fit_body(flow->length, message.body.size(), message.last))) {
        end_mismatched(side, flow, message.body.size(), guard);
        return;
    }
    if (!message.last) {
        flow->streaming_target = flow->state.current->target;
    }
    flow->download = {.offset = message.body.size(), .is_whole = message.last};
    flow->run_time = microseconds(message.upstream_us);
    constexpr unsigned first_server_error = 500;
    auto result = step(side, flow,
                       call::answer_event{.call = call,
                                          .is_whole = message.last,
                                          .is_error = message.status >= first_server_error});
    guard.unlock();
    perform(side, flow, std::move(result), &message);
}

void on_refused(entry_side& side, const node_id& sender, const msg::call_refused_msg& message) {
    const auto view = side.callbacks.view();
    lock_type guard(side.lock);
    const auto call = call::from_key(message.call.get());
    const auto flow = find_attempt(side, sender, call);
    if (!flow) {
        return;
    }
    const call::load_report load{message.in_flight, message.queue, message.slots, message.wait_us,
                                 message.pace_percent};
    const auto now = current_time();
    call::note_report(side.loads[sender], flow->route, load, message.gate_instance, now);
    note_upstream(side, *flow,
                  {message.calls_per_s, message.upstream_leaves, milliseconds(message.cold_ms)},
                  now);
    if (message.reason == msg::refusal_reason::warming_up) {
        call::note_turn(side.loads[sender], milliseconds(message.retry_after_ms), now);
    }
    call::note_refusal(side.loads[sender], message.reason, now);
    const call::refusal refusal{.outcome = message.outcome,
                                .reason = message.reason,
                                .retry_helps = message.retry_helps,
                                .retry_after = milliseconds(message.retry_after_ms)};
    const auto digest = call::from_request_key(flow->request.digest.get());
    auto result =
        step(side, flow,
             call::refused_event{call, refusal, call::count_crashes(view->quarantine, digest)});
    guard.unlock();
    perform(side, flow, std::move(result), nullptr);
}

void on_link_lost(entry_side& side, const node_id& peer) {
    lock_type guard(side.lock);
    std::vector<std::pair<entry_flow_ptr, step_result>> results;
    std::vector<entry_flow_ptr> affected;
    for (const auto& [call, flow] : side.attempts) {
        if (flow->state.current && flow->state.current->target.node == peer) {
            affected.push_back(flow);
        }
    }
    results.reserve(affected.size());
    for (const auto& flow : affected) {
        results.emplace_back(flow, step(side, flow, call::link_lost_event{peer}));
    }
    call::note_link_lost(side.cancels, peer, current_time());
    guard.unlock();
    for (auto& [flow, result] : results) {
        perform(side, flow, std::move(result), nullptr);
    }
}

void on_undelivered_cancel(entry_side& side, const node_id& node, const call_id& call) {
    log_undelivered_cancel(side, node, call);
    const lock_type guard(side.lock);
    call::note_undelivered(side.cancels, call, current_time());
}

void on_timer(entry_side& side) {
    const auto now = current_time();
    const auto view = side.callbacks.view();
    std::vector<std::pair<entry_flow_ptr, step_result>> results;
    lock_type guard(side.lock);
    while (!side.timers.empty() && side.timers.begin()->first <= now) {
        const auto flow = side.timers.begin()->second;
        side.timers.erase(side.timers.begin());
        flow->timer.reset();
        results.emplace_back(flow, step(side, flow, find_timer_event(*view, *flow)));
    }
    if (now - side.cleaned_at > cleanup_interval) {
        side.cleaned_at = now;
        call::forget_idle(side.loads, idle_load_time, now);
        call::forget_idle(side.stated_times, now);
        call::forget_idle(side.answer_times, now);
        allowance::forget_idle(side.allowances, now);
        call::forget_idle(side.origins, now);
        std::erase_if(side.run_times, [&side](const auto& entry) {
            return !side.answer_times.contains(entry.first);
        });
    }
    auto work = end_waits(side, *view, now);
    const auto lost_cancels = call::take_due(side.cancels, now);
    guard.unlock();
    for (const auto& cancel : lost_cancels) {
        send_cancel(side, cancel.call, cancel.node, cancel.address);
    }
    for (auto& [flow, result] : results) {
        perform(side, flow, std::move(result), nullptr);
    }
    carry_out(side, std::move(work));
}

} // namespace cyclamenhatch::edge
