#pragma once

#include "membership/membership.h"

#include <vector>

/// Reads the table of others page by page at start and after a pause, and tries departed members
/// again so that parts of the cluster that lost each other heal.
namespace cyclamenhatch::membership {

/// Begins to read others' tables; has_joined is cleared until that is done or nobody answers.
void start_sync(table& state, instant now);

/// Asks for pages, gives up when nobody answers, and tries departed members and contacts again.
void tick_joins(table& state, instant now, random_source& random, std::vector<outgoing>& sends);

/// Answers with one page. Stays silent while this node has no table of its own to offer, and when
/// it has served too many pages in this second: the asker turns to somebody else.
void answer_sync(table& state, const node_id& from, const msg::member_sync_msg& request,
                 instant now, std::vector<outgoing>& sends);

/// Takes a page in and asks for the next one.
void take_page(table& state, const msg::member_page_msg& page, instant now, random_source& random,
               std::vector<outgoing>& sends);

/// Speeds the tries of departed members up for a while: one of them has answered.
void hurry_rejoins(table& state, instant now);

} // namespace cyclamenhatch::membership
