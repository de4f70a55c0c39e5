#pragma once

#include "call/routing_view.h"
#include "model/ids.h"
#include "model/snapshot.h"
#include "model/time.h"
#include "settings_generated.h"

#include <cstddef>
#include <optional>
#include <vector>

/// Keeps the calls that all nodes together admit for a workspace within its allowance. The load
/// that this answers: one workspace sends several times its usual and would take the room of all
/// others. One node keeps the allowance of a workspace and lends calls of it to the entries. No
/// I/O: time and messages are arguments.
namespace cyclamenhatch::allowance {

/// The allowance of a workspace over all nodes.
struct limit {
    double calls_per_s = 0;
    /// Calls beyond that rate after a time with fewer.
    double burst = 0;

    friend bool operator==(const limit&, const limit&) = default;
};

/// How closely allowances are kept: in each window at most
/// (calls_per_s x window + burst) x (1 + excess_share) + slack calls.
struct rules {
    microseconds window{5'000'000};
    double excess_share = 0.1;
    double slack = 20;
};

/// The defaults if the settings state none.
[[nodiscard]] rules read_rules(const msg::settings_msg& settings);

/// How long an entry may use a call that it was lent. What is lent before a window and used in it
/// stays within 0.3 of the excess share.
[[nodiscard]] microseconds loan_lifetime(const rules& stated);

/// The limit of a workspace; nothing if it has none, is not configured or its name is empty.
[[nodiscard]] std::optional<limit> find_limit(const snapshot& config, const workspace_id& name);

/// The peer that keeps a workspace, by rendezvous hashing over the live ones; null if there is
/// none.
[[nodiscard]] const call::peer* find_keeper(const std::vector<call::peer>& live,
                                            const workspace_id& name);

/// Whether `first` comes before `second` as the keeper of a workspace.
[[nodiscard]] bool ranks_before(const node_id& first, const node_id& second,
                                const workspace_id& name);

/// Calls that this node may admit in a window although no keeper answers. All nodes together have
/// half of the slack, so with many nodes most have none.
[[nodiscard]] std::size_t fixed_part(const rules& stated, const std::vector<call::peer>& live,
                                     const node_id& self, const workspace_id& name);

} // namespace cyclamenhatch::allowance
