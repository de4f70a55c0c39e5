#pragma once

#include "model/time.h"

#include <functional>
#include <map>
#include <string>
#include <variant>

/// HTTP requests to a node. Implemented in http_client.h; tests use fakes.
namespace cyclamenhatch::cli {

struct http_call {
    std::string method;
    /// Path with query.
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_answer {
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// No complete answer was received. When `was_sent` is true, the request may have taken effect.
struct http_failure {
    bool was_sent = false;
    std::string reason;
};

using http_result = std::variant<http_answer, http_failure>;

/// Handles one line of a stream; returns false to end the stream.
using line_handler = std::function<bool(const std::string& line)>;

/// Both functions block.
struct transport {
    /// Sends one request to the node at a base URL.
    std::function<http_result(const std::string& node, const http_call& call)> send;
    /// Like send, but passes the body line by line to `on_line` when the status is 200; the
    /// returned answer then has no body.
    std::function<http_result(const std::string& node, const http_call& call,
                              const line_handler& on_line)>
        stream;
};

} // namespace cyclamenhatch::cli
