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

/// Whether this node holds a duty that needs the store. Members that cannot reach the store are
/// considered only if no member can.
[[nodiscard]] bool has_store_duty(const table& state, std::string_view duty, std::size_t count,
                                  const data_centre_id& data_centre);

} // namespace cyclamenhatch::membership
