#pragma once

#include "model/ids.h"

#include <compare>
#include <cstdint>

namespace cyclamenhatch::moves {

/// Names one attempt of one move.
struct attempt_key {
    service_id service;
    move_id name;
    std::uint32_t attempt = 1;

    friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

} // namespace cyclamenhatch::moves
