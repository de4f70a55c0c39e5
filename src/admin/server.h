#pragma once

#include "admin/backend.h"
#include "settings_generated.h"

#include <memory>

/// The operators' HTTP listener of one node.
namespace cyclamenhatch::admin {

/// Opaque; created by start_admin_server.
struct admin_server;

/// Starts to serve on the settings' ip and admin_port. Throws std::runtime_error when the port
/// cannot be opened. The backend's functions are called from the server's threads until stop
/// returns; call stop before the last reference is dropped.
/// Precondition: the settings have all tables.
[[nodiscard]] std::shared_ptr<admin_server> start_admin_server(const msg::settings_msg& settings,
                                                               backend node);

/// Ends all watches immediately and refuses new ones. Other requests are still served, so that a
/// draining node can be queried for its progress. Must be called from the same thread as stop.
void end_watches(admin_server& server);

/// Ends all watches and closes the listener. Further calls do nothing.
void stop(admin_server& server);

} // namespace cyclamenhatch::admin
