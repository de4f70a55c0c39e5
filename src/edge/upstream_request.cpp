#include "edge/upstream_request.h"

#include <string>

namespace cyclamenhatch::edge {

namespace http = boost::beast::http;

void fill_request(http::request<http::buffer_body>& to, const request_head& head,
                  std::size_t first_bytes, bool is_whole) {
    to.version(11);
    to.method_string(head.method);
    to.target(head.target);
    const std::string stated(find_header(head.headers, "content-length"));
    for (const auto& each : head.headers) {
        if (!is_connection_header(each.name)) {
            to.insert(each.name, each.value);
        }
    }
    if (!is_whole && stated.empty()) {
        to.chunked(true);
    } else if (!is_whole) {
        to.set(http::field::content_length, stated);
    } else if (first_bytes > 0 || !stated.empty()) {
        to.content_length(first_bytes);
    }
}

} // namespace cyclamenhatch::edge
