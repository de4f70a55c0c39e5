#pragma once

#include "model/time.h"
#include "settings_generated.h"

/// When a node that was told to stop takes each step of its drain.
namespace cyclamenhatch::call {

/// Times since the node was told to stop, in the order in which they pass.
struct drain_plan {
    /// Other nodes may send calls for the upstream beside this node until then.
    milliseconds gate_closes{0};
    /// Callers may open connections and send requests until then.
    milliseconds callers_end{0};
    /// Calls that are sent while the node drains must end at their upstreams by then.
    milliseconds runs_end{0};
    /// The node itself answers the calls that are still unanswered.
    milliseconds final_answers{0};
    /// The process ends, even if it is not idle.
    milliseconds node_stops{0};
};

/// With a grace time the process ends shortly before it, and answers calls only in its last sixth;
/// the limits of gate and callers shrink with a grace time below 6 s. Without one it ends after
/// drain_timeout_ms. Precondition: the settings are valid.
[[nodiscard]] drain_plan plan_drain(const msg::call_settings_msg& settings);

} // namespace cyclamenhatch::call
