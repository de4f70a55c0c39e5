#pragma once

#include "messages_generated.h"
#include "model/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

/// Orders the announcements of the upstream beside a node. They may arrive late, come from a run
/// that has ended, or belong to a new run with the same instance id.
namespace cyclamenhatch::membership {

/// A run that another one has replaced without having announced its leave.
struct replaced_run {
    std::string instance;
    std::uint64_t started_ms = 0;
    /// Of its last announcement.
    std::uint64_t sequence = 0;
    /// Its announcements since the last one of the run that replaced it.
    int announcements = 0;
};

/// The latest known run of the upstream.
struct upstream_run {
    std::string instance;
    std::string service;
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    msg::upstream_state state = msg::upstream_state::none;
    /// The run has announced its leave; this is final.
    bool has_left = false;
    instant updated_at;
    std::optional<replaced_run> replaced;
};

/// What decides, beside the time of its start, whether a run replaces another one.
struct replacement_rules {
    /// Whether a service is configured; empty while no configuration is known.
    std::function<bool(const std::string&)> is_configured;
    /// A run that has announced nothing for this long gives way to the one that it had replaced and
    /// that still announces itself.
    milliseconds silence{3000};
};

/// Applies an announcement. Returns false for one that is not newer than the known state, that
/// would bring back a run that has announced its leave, or that is of a service that is not
/// configured where the known run's is. The known run then stays as it is.
[[nodiscard]] bool apply_announcement(upstream_run& run,
                                      const msg::upstream_record_msg& announcement, instant now,
                                      const replacement_rules& rules = {});

/// Whether this run, known by its instance id, has announced that it leaves.
[[nodiscard]] bool has_announced_leave(const upstream_run& run);

/// Records that the run with this instance id leaves, even if it was not known before. Returns
/// false when another run is present.
[[nodiscard]] bool record_leave(upstream_run& run, const std::string& instance, instant now);

/// Records that the run with this instance id drains, although it may still announce that it is
/// ready. Returns the record to send to others, as end_run does, with state draining. Returns
/// nothing for another run and for one that drains or has left already.
[[nodiscard]] std::optional<msg::upstream_record_msg>
drain_run(upstream_run& run, std::optional<msg::upstream_record_msg>& pending,
          const msg::upstream_record_msg* last_sent, const std::string& instance, instant now);

/// Ends the run with this instance id and clears `pending`. Returns the record to send to the gate
/// and to others, with state gone: a copy of `last_sent`, or, if that is null, of `pending`, the
/// record held back until the node serves. The record of a run that was never announced has no
/// service, and `now` as its start. Returns nothing when another run is present; `pending` then
/// stays.
[[nodiscard]] std::optional<msg::upstream_record_msg>
end_run(upstream_run& run, std::optional<msg::upstream_record_msg>& pending,
        const msg::upstream_record_msg* last_sent, const std::string& instance, instant now);

} // namespace cyclamenhatch::membership
