#pragma once

#include "membership/membership.h"

#include <string_view>
#include <vector>

/// Assigns cluster-wide duties to the live members with the highest ranks by rendezvous hashing.
/// While the tables of members differ, more members than intended may hold a duty; every duty must
/// allow that.
namespace cyclamenhatch::membership {

/// The `count` highest-ranked live members for a duty, best first. Limited to the members of
/// `data_centre` unless that is empty.
[[nodiscard]] std::vector<node_id> duty_holders(const table& state, std::string_view duty,
                                                std::size_t count,
                                                const data_centre_id& data_centre = {});

/// Whether this node is one of the duty_holders.
[[nodiscard]] bool has_duty(const table& state, std::string_view duty, std::size_t count,
                            const data_centre_id& data_centre = {});

/// Whether this node holds a duty that needs the store. Suspects and members that cannot reach the
/// store are considered only if there is no other member: the next in rank takes the duty over
/// before a suspicion has ended.
[[nodiscard]] bool has_store_duty(const table& state, std::string_view duty, std::size_t count,
                                  const data_centre_id& data_centre);

/// Number of the other live members of a data centre that state that they cannot reach the store.
[[nodiscard]] std::size_t count_store_away(const table& state, const data_centre_id& data_centre);

/// The live members that rank above this node for a duty, best first, if it is one of the `count`
/// that would hold it or of the next `standbys`; else nothing.
[[nodiscard]] std::vector<node_id> list_predecessors(const table& state, std::string_view duty,
                                                     std::size_t count, std::size_t standbys,
                                                     const data_centre_id& data_centre);

/// Whether any of these members is suspected to have failed, or states that it cannot reach the
/// store.
[[nodiscard]] bool has_unable_at_store(const table& state, const std::vector<node_id>& members);

} // namespace cyclamenhatch::membership
