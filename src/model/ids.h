#pragma once

#include "model/strong_id.h"

#include <cstdint>

/// Identifiers. Each is a type of its own; none converts to another.
namespace cyclamenhatch {

using node_id = strong_id<struct node_tag>;
using region_id = strong_id<struct region_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using service_id = strong_id<struct service_tag>;
using route_id = strong_id<struct route_tag>;
using version_id = strong_id<struct version_tag>;
using move_id = strong_id<struct move_tag>;
using owner_id = strong_id<struct owner_tag>;
using workspace_id = strong_id<struct workspace_tag>;
using operation_id = strong_id<struct operation_tag>;
/// SHA-256 in lower-case hexadecimal.
using digest_id = strong_id<struct digest_tag>;

/// Number of accepted changes of the whole configuration; 0 when there is none yet.
struct config_version {
    std::uint64_t value = 0;

    friend auto operator<=>(const config_version&, const config_version&) = default;
};

/// Identifies a call for its whole lifetime, across links and retries of the same dispatch.
struct call_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const call_id&, const call_id&) = default;
};

} // namespace cyclamenhatch

template <> struct std::hash<cyclamenhatch::call_id> {
    std::size_t operator()(const cyclamenhatch::call_id& id) const noexcept {
        return id.high ^ (id.low * 0x9E3779B97F4A7C15ULL);
    }
};
