#include "edge/gate_crashes.h"

#include "call/call_key.h"
#include "call/held_request.h"
#include "clock/process_clock.h"
#include "model/handler_guard.h"

#include <utility>

namespace cyclamenhatch::edge {
namespace {

using lock_type = state_lock;

/// The crash to report now, if there is one. Precondition: the lock is held.
std::optional<call::upstream_crash> take_crash(gate_side& side, instant now) {
    auto runs = call::take_crash(side.crashes, now);
    if (!runs) {
        return std::nullopt;
    }
    ++side.crash_count;
    // Entries of an earlier release state no digest.
    std::erase_if(*runs, [](const auto& run) { return run.digest == request_digest{}; });
    side.crashed.runs = *std::move(runs);
    return std::exchange(side.crashed, {});
}

void log_crash(const gate_side& side, const call::upstream_crash& crash) {
    if (side.log) {
        side.log({log_level::warning,
                  "upstream_crashed",
                  {{"service", crash.service.value},
                   {"version", crash.version.value},
                   {"instance", crash.instance},
                   {"runs", std::to_string(crash.runs.size())}}});
    }
}

void on_probed(gate_side& side, bool is_refused) {
    crash_step step;
    lock_type guard(side.lock);
    const auto now = current_time();
    call::note_probe(side.crashes, is_refused, now);
    if (side.crashes.phase == call::crash_phase::collecting) {
        side.crashed = {side.gate.service, side.gate.version, side.instance, {}};
        call::note_doubt(side.gate.warm, call::cold_reason::crashed, now);
    }
    step.crash = take_crash(side, now);
    guard.unlock();
    carry_out(side, std::move(step));
}

} // namespace

std::optional<milliseconds> find_hold(const gate_side& side, const msg::call_open_msg& request,
                                      instant now) {
    if (!request.digest || !side.suspects) {
        return std::nullopt;
    }
    return call::find_hold(side.suspects(), call::from_request_key(request.digest.get()), now);
}

void watch_run(gate_side& side, const gate_flow& flow, const std::string& request_id, instant now) {
    call::note_began(side.crashes, flow.call,
                     {.digest = call::from_request_key(flow.request.digest.get()),
                      .route = route_id(flow.request.route),
                      .request_id = request_id},
                     now);
}

crash_step watch_end(gate_side& side, const call_id& call, const call::upstream_end& end,
                     instant now) {
    crash_step step;
    if (end.is_answered) {
        const auto run = call::note_answered(side.crashes, call);
        if (run && end.has_run_well) {
            step.ran_well = run->digest;
        }
    } else if (end.is_not_run) {
        call::note_not_run(side.crashes, call);
    } else {
        step.must_probe = call::note_failed(side.crashes, call, now);
    }
    step.crash = take_crash(side, now);
    return step;
}

void watch_state(gate_side& side) {
    const auto state = side.gate.upstream;
    side.crashes.is_leaving = side.gate.is_draining || side.gate.is_upstream_leaving ||
                              state == msg::upstream_state::draining ||
                              state == msg::upstream_state::gone;
}

crash_step watch_time(gate_side& side, instant now) {
    return {.must_probe = false, .crash = take_crash(side, now), .ran_well = std::nullopt};
}

void carry_out(gate_side& side, crash_step step) {
    if (step.must_probe) {
        auto probe =
            probe_listener(*side.client, [&side](bool is_refused) { on_probed(side, is_refused); });
        const lock_type guard(side.lock);
        // The last one may still be under way when another run of the upstream has begun since.
        if (side.probe) {
            cancel_probe(*side.probe);
        }
        side.probe = std::move(probe);
    }
    if (step.crash) {
        log_crash(side, *step.crash);
        if (side.on_upstream_crash) {
            side.on_upstream_crash(*std::move(step.crash));
        }
    }
    if (step.ran_well && side.suspects && side.on_suspect_ran_well &&
        call::find_suspect(side.suspects(), *step.ran_well) != nullptr) {
        side.on_suspect_ran_well(*step.ran_well);
    }
}

} // namespace cyclamenhatch::edge
