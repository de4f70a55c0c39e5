#pragma once

#include "edge/caller_session.h"

/// What was read of a caller's request, and whether the caller still waits for its answer.
namespace cyclamenhatch::edge {

/// The bytes are no request, while the connection itself is whole.
[[nodiscard]] bool is_request_fault(boost::system::error_code failed);

/// The head without the headers that concern the connection only. Precondition: it was read.
[[nodiscard]] request_head take_head(const caller_exchange& of);

/// Whether the caller has closed its connection behind what was read of it. A node that is behind
/// with its work reads a request long after its caller has left.
[[nodiscard]] bool has_caller_left(caller_session& of);

} // namespace cyclamenhatch::edge
