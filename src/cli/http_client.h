#pragma once

#include "cli/transport.h"

namespace cyclamenhatch::cli {

/// A transport over HTTP. A request or stream that receives nothing for 20 s fails.
[[nodiscard]] transport make_http_transport();

} // namespace cyclamenhatch::cli
