#pragma once

#include "edge/caller_session.h"

/// Inspects a caller's request, and checks whether the caller still waits for the answer.
namespace cyclamenhatch::edge {

/// Whether the error means that the bytes are not a valid request, rather than that the connection
/// failed.
[[nodiscard]] bool is_request_fault(boost::system::error_code error);

/// The head without connection headers. Precondition: the head was read.
[[nodiscard]] request_head take_head(const caller_exchange& exchange);

/// Whether the caller has closed its connection after the bytes read so far. An overloaded node may
/// read a request long after its caller has left.
[[nodiscard]] bool has_caller_left(caller_session& session);

} // namespace cyclamenhatch::edge
