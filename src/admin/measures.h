#pragma once

#include "admin/backend.h"
#include "metrics/registry.h"

#include <memory>
#include <string>

/// Metrics of convergence time and ended moves, as this node knows them, and of API requests.
namespace cyclamenhatch::admin {

/// Opaque; created by make_metrics_collector.
struct metrics_collector;

[[nodiscard]] std::shared_ptr<metrics_collector> make_metrics_collector();

/// Counts one answered request. Thread safe.
void record_request(metrics_collector& collector, const std::string& method, int status,
                    microseconds duration);

/// Counts the events since the last call and returns all metrics as Prometheus text. Events from
/// before the node was first ready are left out, so that a restart counts nothing twice. Thread
/// safe.
[[nodiscard]] std::string write_metrics(metrics_collector& collector, const backend& node);

} // namespace cyclamenhatch::admin
