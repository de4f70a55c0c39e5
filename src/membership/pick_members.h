#pragma once

#include "membership/membership.h"
#include "model/random.h"

#include <cstddef>
#include <vector>

namespace cyclamenhatch::membership {

/// Up to `count` random live members other than this node.
[[nodiscard]] std::vector<const msg::member_record_msg*>
pick_members(const table& members, std::size_t count, random_source& random);

} // namespace cyclamenhatch::membership
