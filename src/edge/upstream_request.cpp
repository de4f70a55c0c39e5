#include "edge/upstream_request.h"

#include <string>

namespace cyclamenhatch::edge {

namespace http = boost::beast::http;

void fill_request(http::request<http::buffer_body>& request, const request_head& head,
                  std::size_t first_bytes, bool is_whole) {
    request.version(11);
    request.method_string(head.method);
    request.target(head.target);
    const std::string stated_length(find_header(head.headers, "content-length"));
    for (const auto& header : head.headers) {
        if (!is_connection_header(header.name)) {
            request.insert(header.name, header.value);
        }
    }
    if (!is_whole && stated_length.empty()) {
        request.chunked(true);
    } else if (!is_whole) {
        request.set(http::field::content_length, stated_length);
    } else if (first_bytes > 0 || !stated_length.empty()) {
        request.content_length(first_bytes);
    }
}

} // namespace cyclamenhatch::edge
