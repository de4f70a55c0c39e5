#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhatch {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A point in time, in microseconds since the Unix epoch. Code that decides receives it as an
/// argument and never reads a clock. The node derives it from its start time and the steady clock,
/// so it never runs backwards within one process.
using instant = std::chrono::time_point<std::chrono::system_clock, microseconds>;

/// Milliseconds since the Unix epoch.
[[nodiscard]] std::int64_t to_unix_ms(instant time);

/// The reverse of to_unix_ms.
[[nodiscard]] instant from_unix_ms(std::int64_t unix_ms);

/// Parses an RFC 3339 time such as 2026-12-04T06:00:00Z or 2026-12-04T07:00:00.250+01:00.
/// Empty when the text is not one.
[[nodiscard]] std::optional<instant> parse_rfc3339(std::string_view text);

/// Parses a time above 0 in seconds, such as "6 s" or "2.5 s". Empty when the text is not one.
[[nodiscard]] std::optional<microseconds> parse_duration(std::string_view text);

/// Formats a time in UTC with milliseconds.
[[nodiscard]] std::string format_rfc3339(instant time);

} // namespace cyclamenhatch
