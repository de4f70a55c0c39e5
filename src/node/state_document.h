#pragma once

#include "document/document.h"
#include "node/node_runtime.h"

#include <string>

/// The node's state as documents for operators, bounded in size and without secrets.
namespace cyclamenhatch::node {

/// Returns the full state of this process. Thread safe.
[[nodiscard]] document dump_state(node_runtime& node);

/// Returns a summary of the fleet as this node knows it. Thread safe.
[[nodiscard]] document describe_fleet(node_runtime& node);

/// Returns the metrics of the node and of its call path in the Prometheus text format. Thread safe.
[[nodiscard]] std::string metrics_text(node_runtime& node);

} // namespace cyclamenhatch::node
