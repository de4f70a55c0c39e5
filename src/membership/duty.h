#pragma once

#include "membership/membership.h"

#include <string_view>
#include <vector>

/// Which members carry a duty for the fleet: the highest ranks by rendezvous hashing over the live
/// members. Two members may hold a duty at once while their tables differ; every duty allows that.
namespace cyclamenhatch::membership {

/// The `count` highest-ranked live members for a duty, best first. With a data centre given only
/// its members count.
[[nodiscard]] std::vector<node_id> duty_holders(const table& state, std::string_view duty,
                                                std::size_t count,
                                                const data_centre_id& within = {});

/// Whether this node is one of them.
[[nodiscard]] bool has_duty(const table& state, std::string_view duty, std::size_t count,
                            const data_centre_id& within = {});

/// Whether this node holds a duty that needs the store. Members that do not reach it are passed
/// over while there are others.
[[nodiscard]] bool has_store_duty(const table& state, std::string_view duty, std::size_t count,
                                  const data_centre_id& within);

} // namespace cyclamenhatch::membership
