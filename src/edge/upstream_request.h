#pragma once

#include "edge/http_message.h"

#include <boost/beast/http.hpp>

#include <cstddef>

/// The head of a request as it is written to an upstream.
namespace cyclamenhatch::edge {

/// Sets method, target, headers and framing. `first_bytes` is the size of the body's first piece;
/// `is_whole` tells that there is no further one.
void fill_request(boost::beast::http::request<boost::beast::http::buffer_body>& to,
                  const request_head& head, std::size_t first_bytes, bool is_whole);

} // namespace cyclamenhatch::edge
