#pragma once

#include "document/document.h"
#include "node/node_runtime.h"

#include <string>

/// The node's state as documents for operators. All are bounded in size and leave secrets out.
namespace cyclamenhatch::node {

/// Everything this process holds. Thread safe.
[[nodiscard]] document dump_state(node_runtime& node);

/// The fleet at a glance as this node knows it. Thread safe.
[[nodiscard]] document describe_fleet(node_runtime& node);

/// Control-side counters and gauges, and the call path's, in Prometheus text. Thread safe.
[[nodiscard]] std::string metrics_text(node_runtime& node);

} // namespace cyclamenhatch::node
