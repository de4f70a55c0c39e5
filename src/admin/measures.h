#pragma once

#include "admin/backend.h"
#include "metrics/registry.h"

#include <memory>
#include <string>

/// What operators judge the fleet by, as this node knows it: convergence time and how moves ended;
/// also the API's own requests.
namespace cyclamenhatch::admin {

/// Opaque; made by make_measures.
struct measures;

[[nodiscard]] std::shared_ptr<measures> make_measures();

/// Counts one answered request. Thread safe.
void record_request(measures& into, const std::string& method, int status, microseconds taken);

/// Adds what happened since the last call and writes all as Prometheus text. What had happened
/// before the node was first ready is left out, so that a restart counts nothing twice. Thread
/// safe.
[[nodiscard]] std::string write_measures(measures& from, const backend& node);

} // namespace cyclamenhatch::admin
