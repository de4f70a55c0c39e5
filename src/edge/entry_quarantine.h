#pragma once

#include "edge/call_headers.h"
#include "edge/entry_side.h"

#include <optional>

/// Requests under which upstreams have crashed, at their entry.
namespace cyclamenhatch::edge {

/// The digest by which all nodes recognise a request with this content.
[[nodiscard]] request_digest compute_digest_of(const header_names& names, const request_head& head,
                                               const body_piece& first);

/// The answer to a request that is held now; nothing when it may be sent on.
[[nodiscard]] std::optional<local_answer> find_hold_answer(const header_names& names,
                                                           const call::routing_view& view,
                                                           const request_digest& digest,
                                                           instant now);

} // namespace cyclamenhatch::edge
