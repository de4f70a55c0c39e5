#pragma once

#include "model/time.h"

#include <functional>
#include <map>
#include <string>
#include <variant>

/// HTTP towards a node, as the verbs see it. http_client.h carries it out; tests put fakes here.
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

/// No whole answer came. Unless `was_sent` is false the request may have had its effect.
struct http_failure {
    bool was_sent = false;
    std::string reason;
};

using http_result = std::variant<http_answer, http_failure>;

/// Takes one line of a stream; returns false to end it.
using line_function = std::function<bool(const std::string& line)>;

/// Both functions block.
struct transport {
    /// Sends one request to the node at a base URL.
    std::function<http_result(const std::string& node, const http_call& call)> send;
    /// As send, but hands over the answer's body line by line when the status is 200; the answer
    /// that is returned then has no body.
    std::function<http_result(const std::string& node, const http_call& call,
                              const line_function& on_line)>
        stream;
};

} // namespace cyclamenhatch::cli
