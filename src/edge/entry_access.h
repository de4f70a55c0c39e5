#pragma once

#include "edge/call_headers.h"
#include "model/snapshot.h"

#include <variant>

namespace cyclamenhatch::edge {

/// The workspace whose call a request on this route is, null when it is nobody's, or the answer to
/// a request that needs an access key and has none that counts. The answer's reason, for the log,
/// names what was wrong; neither holds anything of the key. Thread safe.
[[nodiscard]] std::variant<local_answer, const workspace*>
resolve_caller(const header_names& names, const snapshot& config, const route& matched,
               const header_fields& headers);

} // namespace cyclamenhatch::edge
