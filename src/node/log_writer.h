#pragma once

#include "model/log_event.h"
#include "settings_generated.h"

namespace cyclamenhatch::node {

/// Sets up logging to the standard output stream from a level on. Call once, first of all.
void start_logging(msg::log_level lowest);

/// Changes the lowest level that is logged. Thread safe.
void set_log_level(msg::log_level lowest);

/// Writes one line. Thread safe. Repeats of one event name beyond 20 in a second are counted and
/// reported as one "events_suppressed" line. Never blocks: when the stream takes no more, the line
/// is dropped and counted.
void write_log(const log_event& event);

} // namespace cyclamenhatch::node
