#pragma once

#include "model/log_event.h"
#include "settings_generated.h"

namespace cyclamenhatch::node {

/// Sets up logging to standard output from the level `lowest` on. Call once, before any other
/// function of this file.
void start_logging(msg::log_level lowest);

/// Changes the lowest level that is logged. Thread safe.
void set_log_level(msg::log_level lowest);

/// Writes one line. Thread safe. Lines of one event name beyond 20 in a second are suppressed, and
/// their number is reported in an "events_suppressed" line. Never blocks: when standard output is
/// full the line is dropped, and the number of dropped lines is logged later.
void write_log(const log_event& event);

} // namespace cyclamenhatch::node
