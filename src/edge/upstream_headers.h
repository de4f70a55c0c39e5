#pragma once

#include "edge/header_names.h"
#include "edge/http_message.h"
#include "edge/upstream_client.h"
#include "messages_generated.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>

/// Headers that a gate sends to its upstream, and headers of answers that report whether a call
/// ran.
namespace cyclamenhatch::edge {

/// The reason, if the answer says that the upstream did not run the call.
[[nodiscard]] std::optional<msg::refusal_reason> find_not_run_reason(const header_names& names,
                                                                     const answer_head& head);

/// What the head of an answer says about the upstream itself.
struct upstream_statement {
    /// Calls a second; nothing when there is no such header or it cannot be read.
    std::optional<double> calls_per_s;
    /// There is a limit in the head, but it is not a number of zero or more.
    bool is_limit_invalid = false;
    bool is_leaving = false;
    /// How long work takes there now, in percent of the usual time; nothing when it states none.
    std::optional<std::uint64_t> pace_percent;
    /// There is a load in the head, but it cannot be read.
    bool is_load_invalid = false;
};

[[nodiscard]] upstream_statement read_statement(const header_names& names, const answer_head& head);

/// The head of a call as sent to the upstream, with the time left and the expected instance. Moves
/// from the request.
[[nodiscard]] request_head make_upstream_head(const header_names& names,
                                              const std::string& instance,
                                              msg::call_open_msg& request, microseconds time_left);

/// How to recognise the answer to this request.
[[nodiscard]] answer_match make_answer_match(const header_names& names, const request_head& head);

} // namespace cyclamenhatch::edge
