#pragma once

#include "admin/backend.h"
#include "settings_generated.h"

#include <memory>

/// The operators' HTTP listener of one node.
namespace cyclamenhatch::admin {

/// Opaque; made by start_admin_server.
struct admin_server;

/// Listens on the settings' ip and admin_port and begins to serve. Throws std::runtime_error when
/// the port cannot be had. The backend's functions are called from the server's threads until stop
/// returns, which must come before the last reference is dropped.
/// Precondition: the settings have all tables.
[[nodiscard]] std::shared_ptr<admin_server> start_admin_server(const msg::settings_msg& settings,
                                                               backend node);

/// Ends all watches at once and refuses new ones; every other request is still served, so that a
/// node which drains can be asked how it goes. Called from one thread, as stop is.
void end_watches(admin_server& server);

/// Ends all watches and closes the listener. Does nothing the second time.
void stop(admin_server& server);

} // namespace cyclamenhatch::admin
