#pragma once

#include "messages_generated.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
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

/// Ends the run with this instance id. Returns what is to be told of it, to the gate and to others:
/// the record that was told last, or the one that is held back until the node serves, as gone.
/// Nothing is held back afterwards. Nothing is returned when another run is there, or when nothing
/// but the leave was ever heard of this one.
[[nodiscard]] std::optional<msg::upstream_record_msg>
end_run(upstream_run& run, std::optional<msg::upstream_record_msg>& held,
        const msg::upstream_record_msg* told, const std::string& instance, instant now);

} // namespace cyclamenhatch::membership
