#pragma once

#include "admin/backend.h"
#include "edge/call_path.h"
#include "node/node_runtime.h"
#include "wire/link_pool.h"

#include <memory>

/// Joins the parts of a node that touch the outside with its runtime.
namespace cyclamenhatch::node {

using runtime_ptr = std::shared_ptr<node_runtime>;

[[nodiscard]] wire::link_events make_link_events(const runtime_ptr& node);
[[nodiscard]] edge::call_path_callbacks make_surroundings(const runtime_ptr& node);
[[nodiscard]] admin::backend make_backend(const runtime_ptr& node);

} // namespace cyclamenhatch::node
