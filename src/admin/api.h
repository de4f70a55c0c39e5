#pragma once

#include "admin/backend.h"
#include "model/time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Request handling of the operators' API, without sockets, clocks or randomness. server.h serves
/// it over HTTP.
namespace cyclamenhatch::admin {

/// Name of the request and response header that holds the operation's id.
constexpr const char* operation_header = "cyclamenhatch-operation";

/// Largest request body that is accepted.
constexpr std::size_t max_body_bytes = std::size_t{4} << 20U;

struct api_request {
    std::string method;
    /// Percent-decoded segments of the path.
    std::vector<std::string> path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Address of the sender.
    std::string remote_ip;
};

struct api_response {
    int status = 200;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

using reply_function = std::function<void(api_response)>;

/// Computes the result of a change without writing it; store::apply_change outside tests.
using preview_function =
    std::function<std::variant<std::map<service_id, section_ptr>, store::change_refused>(
        const std::map<service_id, section_ptr>& before, const store::change& change,
        config_version version, const operation_id& operation)>;

/// Dependencies and settings of request handling. Immutable, so any thread may use it.
struct api_context {
    backend node;
    preview_function preview;
    /// Returns Prometheus text to append to the node's metrics; may be empty.
    std::function<std::string()> extra_metrics;
    /// Bearer token of the operators; when empty, every request is accepted.
    std::string token;
    /// This node's own address; announcements from other hosts are refused.
    std::string own_ip;
    milliseconds write_deadline{5000};
};

/// Handles one request other than a watch and calls `reply` exactly once, before it returns or
/// after a write. `fallback_id` is the operation's id when the request has none. Thread safe.
void handle(const api_context& context, const api_request& request, instant now,
            const operation_id& fallback_id, reply_function reply);

/// Whether the request asks for the event stream, which watch.h serves once is_authorised allows
/// it.
[[nodiscard]] bool is_watch(const api_request& request);

/// Whether the request has the token or needs none. Compares in constant time.
[[nodiscard]] bool is_authorised(const api_context& context, const api_request& request);

/// The response to a request without the token.
[[nodiscard]] api_response make_unauthorised();

} // namespace cyclamenhatch::admin
