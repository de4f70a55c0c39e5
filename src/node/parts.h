#pragma once

#include "admin/backend.h"
#include "edge/call_path.h"
#include "node/node_runtime.h"
#include "wire/link_pool.h"

#include <memory>

/// Connects the components of a node that do I/O to its runtime.
namespace cyclamenhatch::node {

using runtime_ptr = std::shared_ptr<node_runtime>;

[[nodiscard]] wire::link_events make_link_events(const runtime_ptr& node);
[[nodiscard]] edge::call_path_callbacks make_call_path_callbacks(const runtime_ptr& node);
[[nodiscard]] admin::backend make_backend(const runtime_ptr& node);

} // namespace cyclamenhatch::node
