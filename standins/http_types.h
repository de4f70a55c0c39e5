#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Test scaffolding: stand-ins for the platform's store, an upstream and a caller.
namespace cyclamenhatch::standin {

struct header_field {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    std::vector<header_field> headers;
    std::string body;
};

struct http_reply {
    unsigned status = 200;
    std::vector<header_field> headers;
    std::string body;
};

/// The value of a header, or empty. Names compare without regard to case.
[[nodiscard]] std::string_view find_header(const std::vector<header_field>& headers,
                                           std::string_view name);

/// The path without its query.
[[nodiscard]] std::string_view path_of(std::string_view target);

/// The value of a query parameter, or empty.
[[nodiscard]] std::string_view query_value(std::string_view target, std::string_view name);

} // namespace cyclamenhatch::standin
