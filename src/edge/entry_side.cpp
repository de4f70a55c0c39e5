#include "edge/entry_side.h"

#include "call/call_key.h"
#include "clock/process_clock.h"
#include "edge/call_headers.h"
#include "edge/entry_steps.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

constexpr milliseconds retry_soon{300};
constexpr microseconds clean_interval{10'000'000};
/// What was seen of an endpoint is forgotten when no call went there for this long.
constexpr microseconds idle_load_time{600'000'000};

using lock_type = std::unique_lock<std::mutex>;

own_answer refuse_at_once(const entry_side& side, msg::refusal_reason reason,
                          milliseconds retry_after) {
    return make_failure(side.names,
                        {.reason = reason, .retry_helps = true, .retry_after = retry_after});
}

std::string held_version(const entry_side& side) {
    const auto view = side.around.view();
    return view->config ? std::to_string(view->config->version.value) : "none";
}

/// Answers a request that no attempt is made for.
void answer_at_once(entry_side& side, const caller_exchange_ptr& exchange,
                    std::string_view request_id, own_answer with) {
    ++side.counters.not_run;
    log_call(side, {log_level::info,
                    "call_refused",
                    {{"request", std::string(request_id)},
                     {"status", std::to_string(with.head.status)},
                     {"config_version", held_version(side)},
                     {"reason", with.reason}}});
    start_answer(exchange, std::move(with.head), {std::move(with.body), true}, nullptr);
}

/// The owner that the request names, when any service has that owner; else the service's.
std::string find_owner(const header_names& names, const snapshot& config, const service& of,
                       const header_fields& headers) {
    const std::string named(find_header(headers, names.owner));
    const bool is_known =
        !named.empty() &&
        std::any_of(config.sections.begin(), config.sections.end(), [&](const auto& each) {
            return each.second->content.service.owner.value == named;
        });
    return is_known ? named : of.owner.value;
}

/// The answer that ends the request before any attempt, or the route it takes.
std::variant<own_answer, route_match> find_way(const entry_side& side,
                                               const call::routing_view& view,
                                               const request_head& head,
                                               const call_limits& limits) {
    if (!view.is_ready || !view.config) {
        return refuse_at_once(side, msg::refusal_reason::no_endpoint, retry_soon);
    }
    if ((view.is_draining && !side.limits.lingers) || side.is_draining) {
        return refuse_at_once(side, msg::refusal_reason::draining, retry_soon);
    }
    if (limits.hops >= side.limits.max_hops) {
        return make_too_many_hops(side.names, side.limits.max_hops);
    }
    const auto way = find_route(*view.config, host_of(head.headers), path_of(head.target));
    if (way.matched == nullptr) {
        return refuse_at_once(side, msg::refusal_reason::no_route, milliseconds{0});
    }
    return way;
}

/// The part of the call's state that the route and the caller's limits decide.
void set_limits(const entry_side& side, entry_flow& flow, const route& matched,
                const call_limits& limits) {
    const auto timeout = std::min(matched.timeout, limits.time_left.value_or(milliseconds::max()));
    flow.state.deadline = flow.received_at + timeout;
    flow.state.is_idempotent = matched.idempotent;
    const auto most = matched.max_attempts > 0 ? matched.max_attempts : side.limits.max_attempts;
    // Only one node of a chain retries: a call that is a retry itself is not multiplied again.
    flow.state.max_attempts = limits.attempts > 1 ? 1 : std::max(1U, most);
    if (matched.latency_objective.count() > 0) {
        flow.objective = flow.received_at + matched.latency_objective;
    }
    flow.request.priority = matched.priority;
    flow.request.idempotent = matched.idempotent;
}

/// The headers that go to the upstream, with those that the node sets itself.
wire_headers make_headers(const entry_side& side, header_fields headers) {
    auto to = to_wire(side.names, std::move(headers));
    if (!side.names.caller_service.empty() && !side.host_service.empty()) {
        auto own = std::make_unique<msg::http_header_msg>();
        own->name = side.names.caller_service;
        own->value = side.host_service;
        to.push_back(std::move(own));
    }
    return to;
}

entry_flow_ptr make_flow(entry_side& side, const call::routing_view& view, const route_match& way,
                         const call_limits& limits, request_head head, body_piece first) {
    auto flow = std::make_shared<entry_flow>();
    flow->received_at = current_time();
    flow->route = way.matched->name;
    flow->request_id = side.names.request_id.empty()
                           ? std::string()
                           : std::string(find_header(head.headers, side.names.request_id));
    set_limits(side, *flow, *way.matched, limits);
    auto& request = flow->request;
    request.route = way.matched->name.value;
    request.owner = find_owner(side.names, *view.config, way.part->content.service, head.headers);
    request.method = std::move(head.method);
    request.target = std::move(head.target);
    request.hops = static_cast<std::uint8_t>(std::min(limits.hops + 1, 255U));
    request.attempt = static_cast<std::uint8_t>(std::min(limits.attempts, 255U));
    request.headers = make_headers(side, std::move(head.headers));
    request.last = first.is_last;
    flow->upload.offset = first.bytes.size();
    flow->upload.is_ended = first.is_last;
    request.body = std::move(first.bytes);
    return flow;
}

/// Sets the service and the versions that the call goes to. Precondition: the lock is held.
void choose_target(entry_side& side, const call::routing_view& view, const route_match& way,
                   std::optional<std::string_view> caller_key, entry_flow& flow) {
    flow.service = call::choose_service(*way.matched, side.random);
    flow.request.service = flow.service.value;
    const auto part = view.config->sections.find(flow.service);
    const auto& service = part == view.config->sections.end() ? way.part->content.service
                                                              : part->second->content.service;
    flow.versions = call::choose_version(view, service, caller_key, side.random);
}

/// This node's part of the retries that the fleet may make beyond the share.
call::budget_rules budget_rules_of(const entry_side& side, const call::routing_view& view) {
    auto rules = side.limits.retries;
    rules.slack /= static_cast<double>(std::max<std::size_t>(1, view.live_nodes));
    return rules;
}

/// The length of the answer's body as its head states it.
std::optional<std::uint64_t> find_stated_bytes(const wire_headers& headers) {
    const auto found = std::find_if(headers.begin(), headers.end(), [](const auto& each) {
        return equals_without_case(each->name, "content-length");
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    const auto& text = (*found)->value;
    std::uint64_t bytes = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), bytes);
    return read.ec == std::errc{} ? std::optional(bytes) : std::nullopt;
}

void record_segments(entry_side& side, const entry_flow& flow, const msg::call_answer_msg& message,
                     instant now) {
    const auto there = microseconds(message.gate_us) + microseconds(message.upstream_us);
    const auto opened_at = flow.state.current->opened_at;
    side.histograms.record(segment::link, std::max(microseconds{0}, now - opened_at - there));
    side.histograms.record(segment::whole, now - flow.received_at);
}

} // namespace

void on_request(entry_side& side, const caller_exchange_ptr& exchange, request_head head,
                body_piece first) {
    ++side.counters.requests;
    const auto view = side.around.view();
    const auto limits = read_limits(side.names, head.headers);
    auto way = find_way(side, *view, head, limits);
    if (auto* refused = std::get_if<own_answer>(&way)) {
        const std::string id(find_header(head.headers, side.names.request_id));
        answer_at_once(side, exchange, id, std::move(*refused));
        return;
    }
    const auto& match = std::get<route_match>(way);
    const std::string key(find_header(head.headers, caller_key_header));
    const bool is_first = head.is_first_on_connection;
    const auto flow = make_flow(side, *view, match, limits, std::move(head), std::move(first));
    flow->exchange = exchange;
    lock_type guard(side.lock);
    if (flow->objective && limits.time_left) {
        *flow->objective -= call::estimate_time_spent(
            side.stated_times, flow->route, *limits.time_left, is_first, flow->received_at);
    }
    const auto caller_key = key.empty() ? std::nullopt : std::optional<std::string_view>(key);
    choose_target(side, *view, match, caller_key, *flow);
    side.flows.emplace(exchange.get(), flow);
    side.retry_rules = budget_rules_of(side, *view);
    call::note_first_attempt(side.budgets[flow->service], side.retry_rules, flow->received_at);
    auto done = step(side, flow, call::request_event{});
    guard.unlock();
    side.histograms.record(segment::entry, current_time() - flow->received_at);
    perform(side, flow, std::move(done), nullptr);
}

bool may_overlap(const entry_side& side, const request_head& head) {
    const auto view = side.around.view();
    if (!view->config) {
        return false;
    }
    const auto way = find_route(*view->config, host_of(head.headers), path_of(head.target));
    return way.matched != nullptr && way.matched->idempotent;
}

void on_caller_gone(entry_side& side, const caller_exchange_ptr& exchange, caller_end cause) {
    lock_type guard(side.lock);
    const auto found = side.flows.find(exchange.get());
    if (found == side.flows.end()) {
        return;
    }
    const auto flow = found->second;
    side.flows.erase(found);
    ++side.counters.callers_gone;
    if (flow->state.is_answering) {
        log_call(side, describe_cut(*flow, "call_cut_at_caller", name_of(cause)));
    }
    auto done = step(side, flow, call::caller_gone_event{});
    guard.unlock();
    perform(side, flow, std::move(done), nullptr);
}

void on_answer(entry_side& side, const node_id& from, msg::call_answer_msg message) {
    lock_type guard(side.lock);
    const auto call = call::from_key(message.call.get());
    const auto flow = find_attempt(side, from, call);
    if (!flow) {
        return;
    }
    if (flow->state.is_answering) {
        ++side.counters.dropped_messages;
        return;
    }
    const auto now = current_time();
    const call::load_report load{message.in_flight, message.queue, message.slots, message.wait_us};
    call::note_report(side.loads[from], flow->route, load, message.gate_instance, now);
    record_segments(side, *flow, message, now);
    if (!message.last) {
        flow->streamed_from = flow->state.current->target;
    }
    flow->download = {.offset = message.body.size(), .is_whole = message.last};
    flow->stated_bytes = find_stated_bytes(message.headers);
    flow->run_time = microseconds(message.upstream_us);
    constexpr unsigned first_server_error = 500;
    auto done = step(side, flow,
                     call::answer_event{.call = call,
                                        .is_whole = message.last,
                                        .is_error = message.status >= first_server_error});
    guard.unlock();
    perform(side, flow, std::move(done), &message);
}

void on_refused(entry_side& side, const node_id& from, const msg::call_refused_msg& message) {
    lock_type guard(side.lock);
    const auto call = call::from_key(message.call.get());
    const auto flow = find_attempt(side, from, call);
    if (!flow) {
        return;
    }
    const call::load_report load{message.in_flight, message.queue, message.slots, message.wait_us};
    const auto now = current_time();
    call::note_report(side.loads[from], flow->route, load, message.gate_instance, now);
    call::note_refusal(side.loads[from], message.reason, now);
    const call::refusal told{.outcome = message.outcome,
                             .reason = message.reason,
                             .retry_helps = message.retry_helps,
                             .retry_after = milliseconds(message.retry_after_ms)};
    auto done = step(side, flow, call::refused_event{call, told});
    guard.unlock();
    perform(side, flow, std::move(done), nullptr);
}

void on_link_lost(entry_side& side, const node_id& peer) {
    lock_type guard(side.lock);
    std::vector<std::pair<entry_flow_ptr, step_result>> all;
    std::vector<entry_flow_ptr> touched;
    for (const auto& [call, flow] : side.attempts) {
        if (flow->state.current && flow->state.current->target.node == peer) {
            touched.push_back(flow);
        }
    }
    all.reserve(touched.size());
    for (const auto& flow : touched) {
        all.emplace_back(flow, step(side, flow, call::link_lost_event{peer}));
    }
    guard.unlock();
    for (auto& [flow, done] : all) {
        perform(side, flow, std::move(done), nullptr);
    }
}

void on_timer(entry_side& side) {
    const auto now = current_time();
    const auto view = side.around.view();
    std::vector<std::pair<entry_flow_ptr, step_result>> all;
    lock_type guard(side.lock);
    while (!side.timers.empty() && side.timers.begin()->first <= now) {
        const auto flow = side.timers.begin()->second;
        side.timers.erase(side.timers.begin());
        flow->timer.reset();
        all.emplace_back(flow, step(side, flow, find_timer_event(*view, *flow)));
    }
    if (now - side.cleaned_at > clean_interval) {
        side.cleaned_at = now;
        call::forget_idle(side.loads, idle_load_time, now);
        call::forget_idle(side.stated_times, now);
    }
    guard.unlock();
    for (auto& [flow, done] : all) {
        perform(side, flow, std::move(done), nullptr);
    }
}

std::size_t count_in_flight(const entry_side& side) {
    const std::lock_guard guard(side.lock);
    return side.flows.size();
}

std::size_t answer_unfinished(entry_side& side) {
    lock_type guard(side.lock);
    std::vector<std::pair<entry_flow_ptr, step_result>> all;
    for (const auto& [exchange, flow] : side.flows) {
        if (!flow->state.is_answering && !flow->state.is_over) {
            all.emplace_back(flow, step(side, flow, call::node_stops_event{}));
        }
    }
    guard.unlock();
    for (auto& [flow, done] : all) {
        perform(side, flow, std::move(done), nullptr);
    }
    return all.size();
}

std::size_t cut_off(entry_side& side) {
    lock_type guard(side.lock);
    const auto flows = std::exchange(side.flows, {});
    side.attempts.clear();
    side.timers.clear();
    guard.unlock();
    for (const auto& [key, flow] : flows) {
        log_call(side, describe_cut(*flow, "call_broken_off", "node_stops"));
        break_off(flow->exchange);
    }
    return flows.size();
}

} // namespace cyclamenhatch::edge
