#pragma once

#include "membership/upstream_run.h"
#include "messages_generated.h"
#include "model/time.h"

/// Keeps the leave that an upstream has announced across a restart of the node beside it. The
/// members' records are the memory: a record that states a leave is replaced only by another run.
namespace cyclamenhatch::membership {

/// Whether the record states a leave that binds later processes of its node. Without an instance id
/// it does not, since the next run could not be distinguished. Null states none.
[[nodiscard]] bool is_lasting_leave(const msg::upstream_record_msg* record);

/// How a record relates to a leave that was known before it.
enum class leave_fit {
    /// No leave was known, or the record states it or another run.
    consistent,
    /// The record has no upstream, as after a restart of its node.
    missing,
    /// The record announces the run that left as present: its node does not know of the leave.
    contradicted,
};

/// Restores in a member's newer record the leave that `known`, its upstream so far, states, unless
/// it is consistent. `known` may be null.
leave_fit keep_leave(msg::member_record_msg& newer, const msg::upstream_record_msg* known);

/// Applies the leave that a node's own record states to what its process knows of the upstream.
/// Returns false, and changes nothing, when it states none, the process knows of it, or another run
/// has been announced since. Not thread safe.
[[nodiscard]] bool recover_leave(upstream_run& run, const msg::upstream_record_msg* own_record,
                                 instant now);

} // namespace cyclamenhatch::membership
