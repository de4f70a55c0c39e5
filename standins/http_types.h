#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Stand-ins for the store, an upstream and a caller, for tests.
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

/// Returns the value of a header, or an empty view when it is absent. Names are case-insensitive.
[[nodiscard]] std::string_view find_header(const std::vector<header_field>& headers,
                                           std::string_view name);

/// Returns the path of a request target, without its query.
[[nodiscard]] std::string_view path_of(std::string_view target);

/// Returns the value of a query parameter without decoding it, or an empty view when it is absent.
[[nodiscard]] std::string_view query_value(std::string_view target, std::string_view name);

} // namespace cyclamenhatch::standin
