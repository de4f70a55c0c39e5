#pragma once

#include "edge/header_names.h"
#include "edge/http_message.h"
#include "edge/upstream_client.h"
#include "messages_generated.h"
#include "model/time.h"

#include <optional>
#include <string>

/// What a gate says to its upstream in headers, and what answers say about the run of a call.
namespace cyclamenhatch::edge {

/// Why an answer says that the upstream did not run the call, when it says so.
[[nodiscard]] std::optional<msg::refusal_reason> find_not_run(const header_names& names,
                                                              const answer_head& head);

/// The head of a call as the upstream gets it, with the time left and the run of the upstream that
/// is meant. Moves out of the request.
[[nodiscard]] request_head make_upstream_head(const header_names& names,
                                              const std::string& instance,
                                              msg::call_open_msg& request, microseconds left);

/// How the answer to this request is known.
[[nodiscard]] answer_match make_match(const header_names& names, const request_head& head);

} // namespace cyclamenhatch::edge
