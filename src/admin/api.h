#pragma once

#include "admin/backend.h"
#include "model/time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The operators' API as pure request handling: no sockets, clocks or randomness. server.h puts it
/// behind an HTTP listener.
namespace cyclamenhatch::admin {

/// Name of the header that carries an operation's id, both ways.
constexpr const char* operation_header = "cyclamenhatch-operation";

/// Largest request body that is read.
constexpr std::size_t max_body_bytes = std::size_t{4} << 20U;

struct api_request {
    std::string method;
    /// Decoded segments of the path.
    std::vector<std::string> path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Address that the request came from.
    std::string remote_ip;
};

struct api_response {
    int status = 200;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

using reply_function = std::function<void(api_response)>;

/// The result of a change without writing it; store::apply_change in the product.
using preview_function =
    std::function<std::variant<std::map<service_id, section_ptr>, store::change_refused>(
        const std::map<service_id, section_ptr>& before, const store::change& wanted,
        config_version version, const operation_id& operation)>;

/// What requests are handled with. Immutable once made, so any thread may use it.
struct api_context {
    backend node;
    preview_function preview;
    /// Text that follows the node's own metrics; may be empty.
    std::function<std::string()> more_metrics;
    /// Empty accepts every request.
    std::string token;
    /// This node's own address; announcements from other hosts are refused.
    std::string own_ip;
    milliseconds write_deadline{5000};
};

/// Handles one request other than a watch and calls back exactly once, at once or after a write.
/// `generated` names the operation when the request does not. Thread safe.
void handle(const api_context& context, const api_request& request, instant now,
            const operation_id& generated, reply_function reply);

/// Whether the request asks for the stream of events; such a request passes check_token and then
/// goes to watch.h.
[[nodiscard]] bool is_watch(const api_request& request);

/// Whether the request carries the token, or none is needed for it. Compares in constant time.
[[nodiscard]] bool is_authorised(const api_context& context, const api_request& request);

/// The answer to a request without the token.
[[nodiscard]] api_response make_unauthorised();

} // namespace cyclamenhatch::admin
