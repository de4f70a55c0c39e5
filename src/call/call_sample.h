#pragma once

#include "model/ids.h"
#include "model/time.h"

#include <optional>

namespace cyclamenhatch::call {

enum class sample_kind {
    /// The upstream answered without a server error.
    ok,
    /// The upstream answered with a server error, or broke off, or timed out.
    error,
    /// The gate refused before dispatch.
    refused,
};

/// The end of one dispatched or refused attempt as the entry observed it; evidence for moves.
struct call_sample {
    service_id service;
    route_id route;
    version_id version;
    data_centre_id data_centre;
    sample_kind kind = sample_kind::ok;
    microseconds latency{0};
    /// Time at the upstream alone, when the answer reported it.
    std::optional<microseconds> run_time;
};

} // namespace cyclamenhatch::call
