#pragma once

#include "messages_generated.h"
#include "model/time.h"

#include <cstdint>
#include <string>

/// Puts the announcements of the upstream beside a node in order: they may come late, from a run
/// that has ended, or begin anew under the same instance id.
namespace cyclamenhatch::membership {

/// The run of the upstream that was heard last.
struct upstream_run {
    std::string instance;
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    msg::upstream_state state = msg::upstream_state::none;
    /// The run said that it leaves; nothing brings it back.
    bool has_left = false;
    instant heard_at;
};

/// Takes an announcement over. Returns false for one that is older than what is known, or that
/// would bring back a run that has said it leaves.
[[nodiscard]] bool take_announcement(upstream_run& run, const msg::upstream_record_msg& heard,
                                     instant now);

/// Notes that the run with this instance id leaves, also as the first that is heard of it. Returns
/// false when another run is there.
[[nodiscard]] bool take_leave(upstream_run& run, const std::string& instance, instant now);

} // namespace cyclamenhatch::membership
