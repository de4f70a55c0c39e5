#pragma once

#include "membership/membership.h"

/// How records of members are merged into a table. A higher incarnation supersedes; within one
/// incarnation the higher liveness does.
namespace cyclamenhatch::membership {

/// How a record came to be known.
enum class record_source {
    /// Rode on a message that spreads changes; changes are told on.
    update,
    /// Stood in a page of the whole table; told on only when this node has joined already.
    page,
};

/// Merges one record. A claim about this node that is not true is refuted. A claim that a member
/// has died only starts a suspicion unless it has been suspect here for half of suspicion_ms, so
/// that the far side of a healed partition can't make live members vanish. Returns whether anything
/// changed.
bool merge_record(table& state, const msg::member_record_msg& record, record_source source,
                  instant now);

/// Changes the liveness of a known member; a no-op when it has it already.
void set_liveness(table& state, member& changed, msg::liveness wanted, instant now);

/// Raises this node's incarnation above `floor` and tells others of its record.
void renew_self(table& state, std::uint64_t floor);

/// Whether the member counts as live: alive or suspect.
[[nodiscard]] bool is_live(const msg::member_record_msg& record);

} // namespace cyclamenhatch::membership
