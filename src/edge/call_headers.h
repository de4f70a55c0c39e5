#pragma once

#include "call/entry_call.h"
#include "edge/header_names.h"
#include "edge/http_message.h"
#include "messages_generated.h"
#include "model/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The headers by which calls carry their limits along a chain of services, and the answers that
/// the call path generates itself.
namespace cyclamenhatch::edge {

inline constexpr std::string_view caller_key_header = "x-caller-key";

using wire_headers = std::vector<std::unique_ptr<msg::http_header_msg>>;

/// Limits that a request states for its call.
struct call_limits {
    /// Nodes that the chain of calls has passed so far.
    std::uint32_t hops = 0;
    /// Attempts made along the chain so far, this one included.
    std::uint32_t attempts = 1;
    std::optional<milliseconds> time_left;
};

/// A header whose value is not a number counts as absent.
[[nodiscard]] call_limits read_limits(const header_names& names, const header_fields& headers);

/// The host without its port, and the path without its query.
[[nodiscard]] std::string_view host_of(const header_fields& headers);
[[nodiscard]] std::string_view path_of(std::string_view target);

/// Moves headers into a message, except those that the product sets itself.
[[nodiscard]] wire_headers to_wire(const header_names& names, header_fields headers);
/// Adds a header, unless its name or value is empty.
void add_header(wire_headers& headers, const std::string& name, const std::string& value);
[[nodiscard]] header_fields from_wire(const wire_headers& headers);

/// An answer that the call path generates itself.
struct local_answer {
    answer_head head;
    body_bytes body;
    /// Reason for the log.
    std::string reason;
};

/// Removes the headers that carry access keys. Call when workspaces are configured: keys are for
/// this product alone.
void drop_access_keys(const header_names& names, header_fields& headers);

/// The answer for a call that ended without an upstream's answer: 401, 404, 429, 503 or 504 with
/// the outcome header and a problem+json body. Every refusal after which a retry may succeed has a
/// Retry-After header.
[[nodiscard]] local_answer make_failure(const header_names& names, const call::refusal& refusal);

/// The answer for a chain of calls that exceeds the hop limit.
[[nodiscard]] local_answer make_too_many_hops(const header_names& names, std::uint32_t max_hops);

} // namespace cyclamenhatch::edge
