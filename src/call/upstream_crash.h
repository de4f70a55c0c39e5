#pragma once

#include "model/ids.h"
#include "model/request_digest.h"

#include <string>
#include <vector>

namespace cyclamenhatch::call {

/// A call that an upstream was running when it crashed.
struct crashed_run {
    request_digest digest;
    route_id route;
    /// The caller's id of the request; empty when it stated none.
    std::string request_id;
};

/// A crash of the upstream beside this node, as its gate saw it.
struct upstream_crash {
    service_id service;
    version_id version;
    /// Instance id of the run that ended; empty when it states none.
    std::string instance;
    std::vector<crashed_run> runs;
};

} // namespace cyclamenhatch::call
