#include "edge/entry_steps.h"

#include "call/call_key.h"
#include "call/held_request.h"
#include "clock/process_clock.h"
#include "edge/call_headers.h"
#include "edge/entry_attempts.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

using lock_type = state_lock;

/// Jitter that spreads retries over time: up to half of the stated delay is added.
constexpr std::uint64_t jitter_divisor = 2;

const std::vector<call::endpoint>& endpoints_of(const call::routing_view& view,
                                                const service_id& service) {
    static const std::vector<call::endpoint> none;
    const auto it = view.endpoints.find(service);
    return it == view.endpoints.end() ? none : it->second;
}

/// Calls a second that a cold upstream of the service takes; 0 for no limit.
double find_warm_up_rate(const call::routing_view& view, const service_id& service) {
    if (!view.config) {
        return 0;
    }
    const auto it = view.config->sections.find(service);
    return it == view.config->sections.end() ? 0 : it->second->content.service.warm_up_calls_per_s;
}

/// The refusal of a call that is not worth sending: by recent reports of all gates that may take
/// it, it would queue past its latency objective or, after that, its deadline.
std::optional<call::refusal> find_wait_refusal(const entry_side& side,
                                               const call::choice_input& input, instant now) {
    const auto wait = call::least_wait(input, side.loads, now);
    if (!wait || wait->count() == 0) {
        return std::nullopt;
    }
    if (now + *wait < *input.useful_until) {
        return std::nullopt;
    }
    return call::refusal{.outcome = msg::call_outcome::not_run,
                         .reason = msg::refusal_reason::queue_full,
                         .retry_helps = true,
                         .retry_after = std::chrono::ceil<milliseconds>(*wait)};
}

std::optional<call::attempt_target> choose_attempt_target(entry_side& side, entry_flow& flow,
                                                          const std::vector<node_id>& tried,
                                                          instant now) {
    const auto view = side.callbacks.view();
    const auto& endpoints = endpoints_of(*view, flow.service);
    const bool has_objective = flow.objective && now < *flow.objective;
    const call::choice_input input{.endpoints = endpoints,
                                   .versions = flow.versions,
                                   .data_centre = side.data_centre,
                                   .tried = tried,
                                   .route = flow.route,
                                   .warm_up_calls_per_s = find_warm_up_rate(*view, flow.service),
                                   .times = &side.run_times,
                                   .useful_until =
                                       has_objective ? *flow.objective : flow.state.deadline};
    flow.state.no_endpoint_reason = find_wait_refusal(side, input, now);
    if (flow.state.no_endpoint_reason) {
        return std::nullopt;
    }
    const auto* chosen = call::choose_endpoint(input, side.loads, now, side.random);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    auto& load = call::get_or_create_load(side.loads, *chosen, now);
    const bool has_room = call::has_room(*chosen, load, now);
    call::note_opened(load, now);
    return call::attempt_target{
        .call = {side.random(), side.random()},
        .node = chosen->node,
        .address = chosen->link,
        .data_centre = chosen->data_centre,
        .version = chosen->version,
        .has_room = has_room,
        .gate_instance = load.gate_instance,
        .instance = load.instance,
        .started_ms = load.started_ms,
        // A restarted gate knows itself how fast a cold upstream is called.
        .calls_per_s = load.notice.cold_left.count() > 0 ? 0 : load.notice.calls_per_s};
}

call::sample_kind kind_of(call::attempt_end end) {
    switch (end) {
    case call::attempt_end::ok:
        return call::sample_kind::ok;
    case call::attempt_end::refused:
        return call::sample_kind::refused;
    default:
        return call::sample_kind::error;
    }
}

void record_end(entry_side& side, const entry_flow& flow, const call::ended_action& ended,
                instant now, step_result& out) {
    const auto view = side.callbacks.view();
    const bool may_eject =
        ended.end == call::attempt_end::failed &&
        call::may_eject_one(side.loads, endpoints_of(*view, flow.service), ended.target.version,
                            side.limits.max_ejected_percent);
    call::note_ended(side.loads[ended.target.node], ended.end, ended.latency, may_eject,
                     side.limits.ejection, now);
    const auto digest = call::from_request_key(flow.request.digest.get());
    // Whatever version runs a held request fails.
    const bool is_held = ended.end == call::attempt_end::failed &&
                         call::find_hold(view->quarantine, digest, now).has_value();
    if (ended.end != call::attempt_end::cancelled && !is_held) {
        out.samples.push_back({.service = flow.service,
                               .route = flow.route,
                               .version = ended.target.version,
                               .data_centre = ended.target.data_centre,
                               .kind = kind_of(ended.end),
                               .latency = ended.latency,
                               .run_time = flow.run_time});
    }
}

void forget_flow(entry_side& side, const entry_flow_ptr& flow) {
    const lock_type guard(side.lock);
    side.flows.erase(flow->exchange.get());
}

/// Log event for a call that ended without an upstream's answer.
log_event describe_failure(const entry_flow& flow, const call::refusal& refusal, unsigned status) {
    const auto now = current_time();
    return {log_level::info,
            "call_failed",
            {{"request", flow.request_id},
             {"route", flow.route.value},
             {"service", flow.service.value},
             {"workspace", flow.request.workspace},
             {"status", std::to_string(status)},
             {"outcome", msg::EnumNamecall_outcome(refusal.outcome)},
             {"reason", msg::EnumNamerefusal_reason(refusal.reason)},
             {"tried", std::to_string(flow.state.tried.size())},
             {"last_node", flow.state.tried.empty() ? "" : flow.state.tried.back().value},
             {"refusals", std::to_string(flow.state.refusals)},
             {"arrivals", std::to_string(flow.state.arrivals)},
             {"age_ms", ms_text(now - flow.received_at)},
             {"left_ms", ms_text(flow.state.deadline - now)},
             {"retry_after_ms", std::to_string(refusal.retry_after.count())}}};
}

void fail_call(entry_side& side, const entry_flow_ptr& flow, call::refusal refusal) {
    const bool is_not_run = refusal.outcome == msg::call_outcome::not_run;
    ++(is_not_run ? side.counters.not_run : side.counters.unknown);
    if (refusal.retry_after.count() > 0) {
        const lock_type guard(side.lock);
        const auto max_jitter =
            static_cast<std::uint64_t>(refusal.retry_after.count()) / jitter_divisor + 1;
        refusal.retry_after += milliseconds(side.random() % max_jitter);
    }
    auto answer = make_failure(side.names, refusal);
    log_call(side, describe_failure(*flow, refusal, answer.head.status));
    start_answer(flow->exchange, std::move(answer.head), {std::move(answer.body), true},
                 [&side, flow] { forget_flow(side, flow); });
}

/// The caller took a piece: the gate may send more, and need not keep what was taken.
void on_taken(entry_side& side, const entry_flow_ptr& flow, std::size_t bytes, bool is_last) {
    lock_type guard(side.lock);
    flow->taken_bytes += bytes;
    flow->is_writing = false;
    guard.unlock();
    if (is_last) {
        forget_flow(side, flow);
        return;
    }
    send_credit(side, flow);
    write_download(side, flow);
}

void pass_answer(entry_side& side, const entry_flow_ptr& flow, msg::call_answer_msg& answer) {
    ++side.counters.answered;
    const auto bytes = answer.body.size();
    const bool is_last = answer.last;
    start_answer(flow->exchange, {.status = answer.status, .headers = from_wire(answer.headers)},
                 {std::move(answer.body), is_last},
                 [&side, flow, bytes, is_last] { on_taken(side, flow, bytes, is_last); });
}

void perform_one(entry_side& side, const entry_flow_ptr& flow, call::entry_action& action,
                 msg::call_answer_msg* answer) {
    const auto now = current_time();
    if (const auto* open = std::get_if<call::open_action>(&action)) {
        send_open(side, flow, *open);
    } else if (const auto* reattach = std::get_if<call::reattach_action>(&action)) {
        ++side.counters.reattaches;
        send_reattach(side, *flow, reattach->target);
        send_credit(side, flow);
    } else if (const auto* cancel = std::get_if<call::cancel_action>(&action)) {
        const auto& target = cancel->target;
        {
            const lock_type guard(side.lock);
            call::note_sent(side.cancels, target.call, target.node, target.address, now);
        }
        send_cancel(side, target.call, target.node, target.address);
    } else if (std::holds_alternative<call::pass_answer_action>(action) && answer != nullptr) {
        pass_answer(side, flow, *answer);
    } else if (std::holds_alternative<call::keep_answer_action>(action) && answer != nullptr) {
        ++side.counters.server_errors_retried;
        log_call(side, {log_level::info,
                        "call_retried",
                        {{"request", flow->request_id},
                         {"route", flow->route.value},
                         {"service", flow->service.value},
                         {"status", std::to_string(answer->status)},
                         {"arrivals", std::to_string(flow->state.arrivals)},
                         {"left_ms", ms_text(flow->state.deadline - now)}}});
        flow->kept_answer = std::make_unique<msg::call_answer_msg>(std::move(*answer));
    } else if (std::holds_alternative<call::pass_kept_answer_action>(action) && flow->kept_answer) {
        pass_answer(side, flow, *flow->kept_answer);
    } else if (const auto* fail = std::get_if<call::fail_action>(&action)) {
        fail_call(side, flow, fail->details);
    } else if (const auto* break_off_call = std::get_if<call::break_off_action>(&action)) {
        ++side.counters.broken_off;
        log_call(side, describe_cut(*flow, "call_broken_off", name_of(break_off_call->cause)));
        break_off(flow->exchange);
        forget_flow(side, flow);
    } else if (std::holds_alternative<call::drop_action>(action)) {
        ++side.counters.dropped_messages;
    }
}

void set_timer(entry_side& side, const entry_flow_ptr& flow) {
    const auto due = flow->state.is_over ? instant::max() : call::next_timer(flow->state);
    if (flow->timer && (*flow->timer)->first == due) {
        return;
    }
    if (flow->timer) {
        side.timers.erase(*flow->timer);
        flow->timer.reset();
    }
    if (due != instant::max()) {
        flow->timer = side.timers.emplace(due, flow);
    }
}

} // namespace

log_event describe_cut(const entry_flow& flow, const char* event, const char* cause) {
    const auto now = current_time();
    return {log_level::warning,
            event,
            {{"request", flow.request_id},
             {"route", flow.route.value},
             {"service", flow.service.value},
             {"reason", cause},
             {"node", flow.state.tried.empty() ? "" : flow.state.tried.back().value},
             {"bytes_due", flow.length.stated ? std::to_string(*flow.length.stated) : "unknown"},
             {"bytes_received", std::to_string(flow.download.offset)},
             {"bytes_taken", std::to_string(flow.taken_bytes)},
             {"age_ms", ms_text(now - flow.received_at)},
             {"left_ms", ms_text(flow.state.deadline - now)}}};
}

void log_call(const entry_side& side, log_event event) {
    if (side.callbacks.log) {
        side.callbacks.log(std::move(event));
    }
}

step_result step(entry_side& side, const entry_flow_ptr& flow, const call::entry_event& event) {
    const auto now = current_time();
    const auto before = flow->state.current;
    const std::function<std::optional<call::attempt_target>(const std::vector<node_id>&)>
        choose_next = [&](const std::vector<node_id>& tried) {
            return choose_attempt_target(side, *flow, tried, now);
        };
    const call::entry_context context{
        side.budgets[flow->service], choose_next, now,
        call::rules_for(side.retry_rules, side.origins, flow->route, flow->service)};
    step_result out;
    out.actions = call::advance(flow->state, event, context);
    for (const auto& action : out.actions) {
        if (const auto* ended = std::get_if<call::ended_action>(&action)) {
            record_end(side, *flow, *ended, now, out);
        }
        if (std::holds_alternative<call::pass_answer_action>(action)) {
            flow->is_writing = true;
        }
    }
    const auto& after = flow->state.current;
    if (before && (!after || after->target.call != before->target.call)) {
        side.attempts.erase(before->target.call);
    }
    if (after && (!before || after->target.call != before->target.call)) {
        side.attempts.emplace(after->target.call, flow);
        if (flow->state.arrivals > 0) {
            allowance::note_repeat(side.allowances, workspace_id{flow->request.workspace}, now);
        }
    }
    set_timer(side, flow);
    return out;
}

void perform(entry_side& side, const entry_flow_ptr& flow, step_result result,
             msg::call_answer_msg* answer) {
    for (auto& action : result.actions) {
        perform_one(side, flow, action, answer);
    }
    if (!result.samples.empty()) {
        side.callbacks.record_samples(std::move(result.samples));
    }
}

entry_flow_ptr find_attempt(entry_side& side, const node_id& sender, const call_id& call) {
    const auto it = side.attempts.find(call);
    if (it == side.attempts.end() || !it->second->state.current ||
        it->second->state.current->target.node != sender) {
        ++side.counters.dropped_messages;
        return nullptr;
    }
    return it->second;
}

void send_credit(entry_side& side, const entry_flow_ptr& flow) {
    lock_type guard(side.lock);
    const auto target = flow->streaming_target;
    msg::call_credit_msg credit;
    credit.received = flow->download.offset;
    credit.whole = flow->download.is_whole;
    credit.taken = credit.whole ? credit.received : flow->taken_bytes;
    guard.unlock();
    if (target) {
        credit.call = call::make_key(target->call);
        side.send_to_gate(target->node, target->address, std::move(credit));
    }
}

void write_download(entry_side& side, const entry_flow_ptr& flow) {
    lock_type guard(side.lock);
    if (flow->is_writing || flow->waiting_pieces.empty()) {
        return;
    }
    flow->is_writing = true;
    auto piece = std::move(flow->waiting_pieces.front());
    flow->waiting_pieces.pop_front();
    guard.unlock();
    const auto bytes = piece.bytes.size();
    const bool is_last = piece.is_last;
    write_body(flow->exchange, std::move(piece),
               [&side, flow, bytes, is_last] { on_taken(side, flow, bytes, is_last); });
}

call::entry_event find_timer_event(const call::routing_view& view, const entry_flow& flow) {
    if (!flow.state.current || !flow.state.current->reattach_at || flow.state.is_answering) {
        return call::timer_event{};
    }
    const auto& node = flow.state.current->target.node;
    const auto& endpoints = endpoints_of(view, flow.service);
    const bool is_known =
        std::any_of(endpoints.begin(), endpoints.end(),
                    [&](const call::endpoint& endpoint) { return endpoint.node == node; });
    return is_known ? call::entry_event{call::timer_event{}}
                    : call::entry_event{call::endpoint_gone_event{node}};
}

} // namespace cyclamenhatch::edge
