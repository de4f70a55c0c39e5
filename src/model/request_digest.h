#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Identifies requests with the same content, whoever sends them, when and through which node.
namespace cyclamenhatch {

struct request_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const request_digest&, const request_digest&) = default;
};

/// What makes two requests the same. The referenced texts must outlive the call.
struct request_content {
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view owner;
    /// The body, or its first piece when it is streamed.
    std::string_view body;
    /// Value of the Content-Length header, so that streamed bodies differ by more than their first
    /// piece; empty when there is none.
    std::string_view stated_length;
};

/// The first 128 bits of a SHA-256 over all parts, so that callers cannot make two requests
/// collide. Thread safe.
[[nodiscard]] request_digest compute_request_digest(const request_content& content);

/// 32 hexadecimal digits, as in logs and in the admin API. Thread safe.
[[nodiscard]] std::string to_text(const request_digest& digest);

/// Reads what to_text returns, in digits of either case; empty for any other text. Thread safe.
[[nodiscard]] std::optional<request_digest> parse_request_digest(std::string_view text);

} // namespace cyclamenhatch

template <> struct std::hash<cyclamenhatch::request_digest> {
    std::size_t operator()(const cyclamenhatch::request_digest& digest) const noexcept {
        return digest.high ^ (digest.low * 0x9E3779B97F4A7C15ULL);
    }
};
