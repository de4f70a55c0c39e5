#pragma once

#include "call/upstream_crash.h"
#include "model/ids.h"
#include "model/time.h"

#include <optional>
#include <unordered_map>
#include <vector>

/// Tells at a gate whether the upstream has crashed, and which calls it was running then.
namespace cyclamenhatch::call {

struct watched_run {
    crashed_run details;
    instant began_at{};
    /// When it ended without a whole answer.
    instant ended_at{};
};

enum class crash_phase {
    none,
    /// A run has failed, and it is being found out whether the upstream still accepts connections.
    probing,
    /// The upstream has crashed; the failures of its other runs are awaited.
    collecting
};

/// Not thread safe; the caller serialises access.
struct crash_watch {
    crash_phase phase = crash_phase::none;
    /// The upstream has announced, or said in an answer, that it leaves: its end is no crash.
    bool is_leaving = false;
    /// Start of the probe, and end of the collection.
    instant probed_at{};
    instant collected_until{};
    /// Calls that the upstream may be running.
    std::unordered_map<call_id, watched_run> running;
    /// Runs that ended without an answer shortly before the probe or since.
    std::vector<watched_run> ended;
};

void note_began(crash_watch& watch, const call_id& call, crashed_run run, instant now);

/// The run has a whole answer. Returns what ran; nothing for an unknown call.
std::optional<crashed_run> note_answered(crash_watch& watch, const call_id& call);

/// Proven: the upstream did not run the call.
void note_not_run(crash_watch& watch, const call_id& call);

/// The run was broken off by this node: its caller left, or its time was over.
void note_cut(crash_watch& watch, const call_id& call, instant now);

/// The upstream broke off after the request was sent. Returns whether to probe now: to open a
/// connection, and to report with note_probe whether it was refused.
[[nodiscard]] bool note_failed(crash_watch& watch, const call_id& call, instant now);

/// `is_refused` only when the upstream accepts no connections at all.
void note_probe(crash_watch& watch, bool is_refused, instant now);

/// Another run of the upstream has begun, so what the last one was running tells nothing of it.
void note_other_run(crash_watch& watch);

/// The calls under which the upstream crashed, once all have ended or the time to wait for them is
/// over; nothing when there is no crash to report. Call it after each event above and every few
/// milliseconds. Reports each crash once.
[[nodiscard]] std::optional<std::vector<crashed_run>> take_crash(crash_watch& watch, instant now);

} // namespace cyclamenhatch::call
