#pragma once

#include "membership/membership.h"

/// Merges member records into a table. The higher incarnation wins; within one incarnation the
/// higher liveness does. An upstream run that has left stays so in every incarnation.
namespace cyclamenhatch::membership {

/// How a record was received.
enum class record_source {
    /// Piggybacked on a message that spreads changes; changes are forwarded.
    update,
    /// Part of a page of the whole table; new members are forwarded only once this node has joined.
    page,
};

/// Merges one record. False claims about this node are refuted; a leave of its upstream that others
/// remember is recovered. A claim that a member has died only
/// starts a suspicion unless it has been suspect here for half of suspicion_ms, so that after a
/// partition heals the other side can't remove live members. Returns whether the record of another
/// member changed.
bool merge_record(table& state, const msg::member_record_msg& record, record_source source,
                  instant now);

/// Changes the liveness of a known member and queues an update; a no-op when it is unchanged.
void set_liveness(table& state, member& target, msg::liveness liveness, instant now);

/// Raises this node's incarnation above `floor` and queues an update with its record.
void renew_self(table& state, std::uint64_t floor);

/// Whether the member counts as live: alive or suspect.
[[nodiscard]] bool is_live(const msg::member_record_msg& record);

} // namespace cyclamenhatch::membership
