#pragma once

#include "cli/transport.h"

namespace cyclamenhatch::cli {

/// The real transport. A request or a stream that is silent for 20 s counts as failed.
[[nodiscard]] transport make_http_transport();

} // namespace cyclamenhatch::cli
