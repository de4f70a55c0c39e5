#pragma once

#include "membership/membership.h"

#include <vector>

/// Reads the tables of other members page by page at start and after a pause, and retries departed
/// members, so that a partitioned cluster heals.
namespace cyclamenhatch::membership {

/// Begins to read the tables of other members. Clears has_joined until that is done or nobody
/// answers.
void start_sync(table& state, instant now);

/// Requests pages, gives up when nobody answers, and retries departed members and contacts.
void tick_joins(table& state, instant now, random_source& random, std::vector<outgoing>& sends);

/// Call when contacts were added. Without a member, the current round asks them at the next tick
/// and waits for them as long as a round that begins now.
void note_new_contacts(table& state, instant now);

/// Answers with one page. Does not answer before this node has joined, or when it has served too
/// many pages in the current second: the requester then asks another member.
void answer_sync(table& state, const node_id& sender, const msg::member_sync_msg& request,
                 instant now, std::vector<outgoing>& sends);

/// Merges a page into the table and requests the next one.
void merge_page(table& state, const msg::member_page_msg& page, instant now, random_source& random,
                std::vector<outgoing>& sends);

/// Retries departed members more often for 10 s. Call when one of them has answered.
void accelerate_rejoins(table& state, instant now);

} // namespace cyclamenhatch::membership
