#include "edge/entry_allowance.h"

#include "clock/process_clock.h"

#include <algorithm>
#include <string>

namespace cyclamenhatch::edge {
namespace {

/// Parts of the time to its objective and its deadline that a call may wait.
constexpr int objective_part = 4;
constexpr int deadline_part = 8;

/// Begins the attempts of an admitted call.
step_result start_attempts(entry_side& side, const entry_flow_ptr& flow, instant now) {
    call::note_first_attempt(side.budgets[flow->service], side.retry_rules, now);
    return step(side, flow, call::request_event{});
}

instant find_wait_end(const entry_flow& flow, instant now) {
    auto longest = std::min<microseconds>(allowance::longest_wait,
                                          (flow.state.deadline - now) / deadline_part);
    if (flow.objective) {
        longest = std::min<microseconds>(longest, (*flow.objective - now) / objective_part);
    }
    return now + longest;
}

step_result refuse(entry_flow& flow, microseconds retry_after) {
    flow.state.is_over = true;
    step_result result;
    result.actions.emplace_back(
        call::fail_action{{.outcome = msg::call_outcome::not_run,
                           .reason = msg::refusal_reason::allowance_exceeded,
                           .retry_helps = true,
                           .retry_after = std::chrono::ceil<milliseconds>(retry_after)}});
    return result;
}

void log_silence(const entry_side& side, const call::routing_view& view, const workspace_id& name,
                 const allowance::stock& held, instant now) {
    const auto* keeper = allowance::find_keeper(view.peers, name);
    log_call(side, {log_level::warning,
                    "allowance_keeper_silent",
                    {{"workspace", name.value},
                     {"keeper", keeper == nullptr ? "" : keeper->node.value},
                     {"silent_ms", held.heard_at == instant{} ? "" : ms_text(now - held.heard_at)},
                     {"waiting", std::to_string(held.waiting)},
                     {"fixed_used", std::to_string(held.fixed_used)}}});
}

/// Ends a call that found no lent call in time: by the word of the keeper, or by the fixed part.
step_result end_without_loan(entry_side& side, const call::routing_view& view,
                             const entry_flow_ptr& flow, instant now) {
    const workspace_id name{flow->request.workspace};
    const auto word = allowance::refused_for(side.allowances, name, now);
    if (!word && allowance::take_fixed(side.allowances, name, view.peers, now)) {
        return start_attempts(side, flow, now);
    }
    auto& held = side.allowances.stocks[name];
    ++held.counts.refused;
    if (!word) {
        ++held.counts.refused_silent;
        if (now - held.silence_noted > side.allowances.stated.window) {
            held.silence_noted = now;
            log_silence(side, view, name, held, now);
        }
    }
    return refuse(*flow, word.value_or(allowance::silent_retry));
}

/// Admits and refuses the waiting calls of a workspace, those that arrived first before others.
void serve_waiting(entry_side& side, const call::routing_view& view, const workspace_id& name,
                   instant now, flow_results& results) {
    const auto found = side.allowance_waiters.find(name);
    if (found == side.allowance_waiters.end()) {
        return;
    }
    std::deque<allowance_waiter> still;
    for (auto& waiter : found->second) {
        const auto& flow = waiter.flow;
        if (flow->state.is_over) {
            allowance::note_wait_ended(side.allowances, name);
            continue;
        }
        if (allowance::take(side.allowances, name, now)) {
            allowance::note_wait_ended(side.allowances, name);
            results.emplace_back(flow, start_attempts(side, flow, now));
            continue;
        }
        const auto word = allowance::refused_for(side.allowances, name, now);
        if (now < waiter.until && (!word || now + *word < waiter.until)) {
            still.push_back(std::move(waiter));
            continue;
        }
        allowance::note_wait_ended(side.allowances, name);
        results.emplace_back(flow, end_without_loan(side, view, flow, now));
    }
    if (still.empty()) {
        side.allowance_waiters.erase(found);
    } else {
        found->second = std::move(still);
    }
}

} // namespace

allowance_work admit(entry_side& side, const call::routing_view& view, const entry_flow_ptr& flow,
                     instant now) {
    allowance_work work;
    const workspace_id name{flow->request.workspace};
    if (!view.config || !allowance::find_limit(*view.config, name)) {
        work.results.emplace_back(flow, start_attempts(side, flow, now));
        return work;
    }
    allowance::note_call(side.allowances, name, now);
    if (allowance::take(side.allowances, name, now)) {
        work.results.emplace_back(flow, start_attempts(side, flow, now));
    } else if (side.allowances.waiting >= allowance::max_waiting) {
        work.results.emplace_back(flow, end_without_loan(side, view, flow, now));
    } else {
        side.allowance_waiters[name].push_back({flow, find_wait_end(*flow, now)});
        allowance::note_waiting(side.allowances, name);
        serve_waiting(side, view, name, now, work.results);
    }
    work.requests = allowance::make_requests(side.allowances, view.peers, now);
    return work;
}

allowance_work end_waits(entry_side& side, const call::routing_view& view, instant now) {
    allowance_work work;
    if (side.allowance_waiters.empty()) {
        return work;
    }
    std::vector<workspace_id> names;
    names.reserve(side.allowance_waiters.size());
    for (const auto& [name, waiters] : side.allowance_waiters) {
        names.push_back(name);
    }
    for (const auto& name : names) {
        serve_waiting(side, view, name, now, work.results);
    }
    work.requests = allowance::make_requests(side.allowances, view.peers, now);
    return work;
}

void carry_out(entry_side& side, allowance_work work) {
    for (auto& request : work.requests) {
        const auto node = request.to;
        side.send_to_keeper(node, request.address, std::move(request.message));
    }
    for (auto& [flow, result] : work.results) {
        perform(side, flow, std::move(result), nullptr);
    }
}

void on_allowance_loan(entry_side& side, const node_id& sender,
                       const msg::allowance_loan_msg& message) {
    const auto view = side.callbacks.view();
    const auto now = current_time();
    allowance_work work;
    state_lock guard(side.lock);
    for (const auto& name : allowance::on_loan(side.allowances, sender, message, now)) {
        serve_waiting(side, *view, name, now, work.results);
    }
    work.requests = allowance::make_requests(side.allowances, view->peers, now);
    guard.unlock();
    carry_out(side, std::move(work));
}

} // namespace cyclamenhatch::edge
