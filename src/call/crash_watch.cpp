#include "call/crash_watch.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::call {
namespace {

/// Runs that ended this long before the probe may have ended by the crash.
constexpr microseconds suspicion_time{100'000};
/// The connections of a process that ends break within a few milliseconds of each other.
constexpr microseconds collection_time{50'000};

void forget_old(crash_watch& watch, instant now) {
    if (watch.phase == crash_phase::none) {
        std::erase_if(watch.ended, [&](const watched_run& ended) {
            return ended.ended_at + suspicion_time < now;
        });
    }
}

/// Moves a run to those that ended without an answer. Returns false for an unknown call.
bool end_run(crash_watch& watch, const call_id& call, instant now) {
    forget_old(watch, now);
    auto run = watch.running.extract(call);
    if (run.empty()) {
        return false;
    }
    run.mapped().ended_at = now;
    watch.ended.push_back(std::move(run.mapped()));
    return true;
}

/// What begins after the first failure is refused by the upstream's host and does not run.
bool may_have_crashed(const crash_watch& watch, const watched_run& run) {
    return run.began_at <= watch.probed_at;
}

bool is_collected(const crash_watch& watch, instant now) {
    return now >= watch.collected_until ||
           std::none_of(watch.running.begin(), watch.running.end(),
                        [&](const auto& item) { return may_have_crashed(watch, item.second); });
}

} // namespace

void note_began(crash_watch& watch, const call_id& call, crashed_run run, instant now) {
    watch.running.insert_or_assign(call, watched_run{.details = std::move(run), .began_at = now});
}

std::optional<crashed_run> note_answered(crash_watch& watch, const call_id& call) {
    auto run = watch.running.extract(call);
    return run.empty() ? std::nullopt : std::optional(std::move(run.mapped().details));
}

void note_not_run(crash_watch& watch, const call_id& call) {
    watch.running.erase(call);
}

void note_cut(crash_watch& watch, const call_id& call, instant now) {
    (void)end_run(watch, call, now);
}

bool note_failed(crash_watch& watch, const call_id& call, instant now) {
    if (!end_run(watch, call, now) || watch.is_leaving || watch.phase != crash_phase::none) {
        return false;
    }
    watch.phase = crash_phase::probing;
    watch.probed_at = now;
    return true;
}

void note_probe(crash_watch& watch, bool is_refused, instant now) {
    if (watch.phase != crash_phase::probing) {
        return;
    }
    if (!is_refused || watch.is_leaving) {
        watch.phase = crash_phase::none;
        return;
    }
    watch.phase = crash_phase::collecting;
    watch.collected_until = now + collection_time;
}

void note_other_run(crash_watch& watch) {
    watch.running.clear();
    if (watch.phase == crash_phase::collecting) {
        return;
    }
    watch.phase = crash_phase::none;
    watch.ended.clear();
}

std::optional<std::vector<crashed_run>> take_crash(crash_watch& watch, instant now) {
    if (watch.phase != crash_phase::collecting || !is_collected(watch, now)) {
        return std::nullopt;
    }
    watch.phase = crash_phase::none;
    std::vector<crashed_run> runs;
    for (auto& run : std::exchange(watch.ended, {})) {
        if (may_have_crashed(watch, run) && run.ended_at + suspicion_time >= watch.probed_at) {
            runs.push_back(std::move(run.details));
        }
    }
    std::erase_if(watch.running, [&](auto& item) {
        const bool is_gone = may_have_crashed(watch, item.second);
        if (is_gone) {
            runs.push_back(std::move(item.second.details));
        }
        return is_gone;
    });
    return runs;
}

} // namespace cyclamenhatch::call
