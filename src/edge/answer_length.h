#pragma once

#include "edge/call_headers.h"
#include "edge/http_message.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Compares the bytes of an answer's body with the length that its upstream stated. Gate and entry
/// both do, so that no answer that lost bytes in between reaches a caller as whole.
namespace cyclamenhatch::edge {

/// What an answer's head says about the length of its body.
struct answer_length {
    /// Value of Content-Length, if it is present and valid.
    std::optional<std::uint64_t> stated;
    /// Content-Length is no number, or has several values that differ.
    bool is_invalid = false;
    /// The answer has no body, whatever length it states.
    bool is_bodiless = false;
};

/// How the bytes of a body so far relate to its length.
enum class body_fit { partial, complete, too_short, too_long, invalid };

/// Whether an answer with this status never has a body.
[[nodiscard]] bool is_bodiless_status(unsigned status);

/// `method` is that of the request. Several Content-Length values are valid if they are equal.
[[nodiscard]] answer_length find_answer_length(unsigned status, std::string_view method,
                                               const header_fields& headers);
[[nodiscard]] answer_length find_answer_length(unsigned status, std::string_view method,
                                               const wire_headers& headers);

/// How a body of `bytes` so far fits; `is_ended` when none follow. A body that has all its bytes
/// and has not ended is too long, because its receiver would take it for whole.
[[nodiscard]] body_fit fit_body(const answer_length& length, std::uint64_t bytes, bool is_ended);

/// Whether the body must not be passed on as that of its answer.
[[nodiscard]] bool is_mismatch(body_fit fit);

/// The stated length for the log: a number, "none" or "invalid".
[[nodiscard]] std::string stated_text(const answer_length& length);

} // namespace cyclamenhatch::edge
